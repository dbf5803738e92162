#pragma once

#include "Core/TokenCount.h"

namespace almondscale {

// One prefill that was measured.
struct PrefillSample {
    TokenCount prompt;
    // Tokens of it that were believed to be cached.
    TokenCount cached;
    // Open work at the engine when it was sent, in milliseconds.
    double queuedMs = 0;
    double takenMs = 0;
};

} // namespace almondscale
