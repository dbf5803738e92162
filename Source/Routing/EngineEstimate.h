#pragma once

#include "Core/BlockCount.h"

namespace almondscale {

// The estimated current load of an engine.
struct EngineEstimate {
    double prefillTokens = 0;
    double decodeTokens = 0;
    // Running and queued requests.
    double requests = 0;
    double reportedRequests = 0;
    // False before the first report that states the engine's memory; the block counts are then not
    // valid.
    bool blocksKnown = false;
    double freeBlocks = 0;
    double totalBlocks = 0;
};

} // namespace almondscale
