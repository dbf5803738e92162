#pragma once

#include "Core/TokenCount.h"

#include <cstdint>

namespace almondscale {

// What a request says of its prompt and of the answer it allows.
struct PromptShape {
    TokenCount prompt;
    TokenCount mostOutput;
    // Identifies the parts of the prompt that other requests share, 0 if there are none.
    std::uint64_t sharedKey = 0;
    TokenCount shared;

    TokenCount own() const { return prompt - shared; }
};

} // namespace almondscale
