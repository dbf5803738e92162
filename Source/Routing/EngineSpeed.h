#pragma once

#include "Core/TokenCount.h"

namespace almondscale {

// How fast an engine works; the router corrects these figures by what it observes.
struct EngineSpeed {
    double prefillTokensPerSecond = 8000;
    // For each request that is decoding.
    double decodeTokensPerSecond = 40;
    // Requests that decode at the same time.
    int slots = 32;
    TokenCount tokensPerBlock { 16 };
    double kvBytesPerToken = 131072;
    double kvBytesPerSecond = 10e9;
};

} // namespace almondscale
