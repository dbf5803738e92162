#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// How soon a key that the operators took away must stop working.
struct RevocationBounds {
    // The bound holds for every host, also for one that is cut off from the store.
    bool strict = false;
    // Time from the store's acknowledgement of the manifest; requests sent later must not run.
    Nanoseconds time = std::chrono::seconds(5);
    // When the store comes back from an older copy, the operators write again what it lost within this time.
    Nanoseconds rewriteTime = std::chrono::seconds(2);
};

} // namespace almondscale
