#pragma once

#include "Core/TokenCount.h"

namespace almondscale {

// The performance of an engine. The router updates the prefill speed from measurements.
struct EngineSpeed {
    double prefillTokensPerSecond = 8000;
    // Per decoding request.
    double decodeTokensPerSecond = 40;
    // The maximum number of requests that decode at the same time.
    int slots = 32;
    TokenCount tokensPerBlock { 16 };
    double kvBytesPerToken = 131072;
    double kvBytesPerSecond = 10e9;
};

} // namespace almondscale
