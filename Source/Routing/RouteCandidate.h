#pragma once

#include "Core/EngineId.h"
#include "Core/MonotonicTime.h"

namespace almondscale {

// An engine that could take a request or a part of it, with what that would mean.
struct RouteCandidate {
    EngineId engine;
    // The requests that the engine last reported, with nothing added.
    double reportedLoad = 0;
    // The work in front of the request, as this host estimates it.
    Nanoseconds wait {};
    MonotonicTime firstTokenAt;
    // When the engine would have done its part.
    MonotonicTime completionAt;
    bool holdsPrefix = false;
};

} // namespace almondscale
