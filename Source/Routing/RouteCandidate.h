#pragma once

#include "Core/EngineId.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// An engine that could serve a request or one phase of it, with the estimated times.
struct RouteCandidate {
    EngineId engine;
    // The number of requests in the engine's last report, without extrapolation.
    double reportedLoad = 0;
    // The estimated queueing time.
    Nanoseconds wait {};
    // Whether the queueing time exceeds RouterOptions::maxEngineWait.
    bool full = false;
    // The prompt tokens that the engine has probably not cached.
    TokenCount prefillTokens;
    MonotonicTime firstTokenAt;
    // The expected end of the engine's phases of the request.
    MonotonicTime completionAt;
    bool holdsPrefix = false;
};

} // namespace almondscale
