#pragma once

#include "Core/EngineId.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// An engine that could take a request or a part of it, with what that would mean.
struct RouteCandidate {
    EngineId engine;
    // The requests that the engine last reported, with nothing added.
    double reportedLoad = 0;
    // The work in front of the request, as this host estimates it.
    Nanoseconds wait {};
    // Whether that is more than an engine should have in front of a request.
    bool full = false;
    // The prompt without what the engine probably holds of it.
    TokenCount prefillTokens;
    MonotonicTime firstTokenAt;
    // When the engine would have done its part.
    MonotonicTime completionAt;
    bool holdsPrefix = false;
};

} // namespace almondscale
