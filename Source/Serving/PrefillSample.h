#pragma once

#include "Core/TokenCount.h"

namespace almondscale {

// The measured time of one prefill.
struct PrefillSample {
    TokenCount prompt;
    // Tokens of the prompt that were assumed to be cached.
    TokenCount cached;
    // Outstanding work at the engine when the prefill was sent, in milliseconds.
    double queuedMs = 0;
    double takenMs = 0;
};

} // namespace almondscale
