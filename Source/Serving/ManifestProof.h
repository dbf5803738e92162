#pragma once

#include "Core/MonotonicTime.h"
#include "Core/StoreVersion.h"

namespace almondscale {

// Evidence that every manifest which the store acknowledged before a time is of at most a version of its
// table.
struct ManifestProof {
    // On the clock of this host.
    MonotonicTime provenAt {};
    StoreVersion version;
};

} // namespace almondscale
