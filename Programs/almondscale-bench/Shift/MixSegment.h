#pragma once

#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// A span of time in which requests to one model have one size.
struct MixSegment {
    Nanoseconds start {};
    Nanoseconds length {};
    double requestsPerSecond = 0;
    TokenCount promptTokens;
    TokenCount outputTokens;
    // The share of the prompt that other requests begin with, too.
    double sharedPrefix = 0;
    Nanoseconds deadline {};
    int model = 0;
};

} // namespace almondscale
