#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"

namespace almondscale {

// A host of the platform's lagging list: an address that is worth a try, no proof of life.
struct SeedHost {
    HostId host;
    Address address;
    DataCentre dataCentre;
};

} // namespace almondscale
