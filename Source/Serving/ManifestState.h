#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/CopyOrigin.h"

#include <cstdint>

namespace almondscale {

// The manifest by which a host decides at one moment.
struct ManifestState {
    std::int64_t version = 0;
    // Time since the host's copy was last known to be the store's newest, and by whom.
    Nanoseconds age {};
    CopyOrigin origin = CopyOrigin::None;
    // A change has to be in force within this time of the store's acknowledgement.
    Nanoseconds bound {};

    bool isOutdated() const { return age > bound; }
};

} // namespace almondscale
