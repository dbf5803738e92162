#pragma once

#include "Core/BlockCount.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

#include <cstdint>

namespace almondscale {

// What an engine said about its load, some time ago.
struct LoadReport {
    // A new number at each start of the engine.
    std::uint64_t boot = 0;
    int running = 0;
    int queued = 0;
    // Work that was still to be done.
    TokenCount prefillTokens;
    TokenCount decodeTokens;
    BlockCount freeBlocks;
    BlockCount totalBlocks;
    std::uint64_t sequence = 0;
    // On this host's clock: when the report arrived, less the age that it states.
    MonotonicTime sampledAt;
};

} // namespace almondscale
