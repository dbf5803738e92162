#pragma once

#include "Core/BlockCount.h"

namespace almondscale {

// The load of an engine now, as this host estimates it.
struct EngineEstimate {
    double prefillTokens = 0;
    double decodeTokens = 0;
    // Requests that run or wait.
    double requests = 0;
    double reportedRequests = 0;
    // Nothing is known of the memory before the first report.
    bool blocksKnown = false;
    double freeBlocks = 0;
    double totalBlocks = 0;
};

} // namespace almondscale
