#pragma once

#include "Core/MonotonicTime.h"

#include <cstdint>
#include <string>

namespace almondscale::standin {

// Tells that a prompt prefix entered or left an engine's cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false;
    // The hexadecimal hash of the prefix.
    std::string prefix;
    // Nobody is told before this instant.
    MonotonicTime visibleAt {};
};

} // namespace almondscale::standin
