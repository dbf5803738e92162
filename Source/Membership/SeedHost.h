#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"

namespace almondscale {

// A host to contact when joining, from the platform's list. The list may be outdated, so the host may be
// dead.
struct SeedHost {
    HostId host;
    Address address;
    DataCentre dataCentre;
};

} // namespace almondscale
