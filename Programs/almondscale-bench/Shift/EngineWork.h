#pragma once

#include "Core/TokenCount.h"

#include <cstdint>

namespace almondscale {

// Names a request within one run.
using RequestIndex = std::uint32_t;

// What a modelled engine is to do for one request.
struct EngineWork {
    RequestIndex request = 0;
    int promptTokens = 0;
    int outputTokens = 0;
    // The prompt's beginning that other requests share.
    int prefix = 0;
    int prefixTokens = 0;
    enum class Part {
        Whole,
        Prefill,
        Decode,
    } part
        = Part::Whole;
};

} // namespace almondscale
