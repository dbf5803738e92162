#pragma once

#include "Core/BlockCount.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

#include <cstdint>

namespace almondscale {

// A load report of an engine.
struct LoadReport {
    // Changes with each start of the engine.
    std::uint64_t boot = 0;
    int running = 0;
    int queued = 0;
    // Remaining work.
    TokenCount prefillTokens;
    TokenCount decodeTokens;
    BlockCount freeBlocks;
    BlockCount totalBlocks;
    std::uint64_t sequence = 0;
    // On this host's clock: the time of arrival less the age stated in the report.
    MonotonicTime sampledAt;
};

} // namespace almondscale
