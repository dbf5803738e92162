#pragma once

#include "Core/TokenCount.h"

#include <cstdint>

namespace almondscale {

// What a request says of its prompt and of the answer it allows.
struct PromptShape {
    TokenCount tokens;
    TokenCount maxOutput;
    // Identifies the parts of the prompt that other requests share, 0 if there are none.
    std::uint64_t prefixHash = 0;
    TokenCount prefixTokens;

    TokenCount uniqueTokens() const { return tokens - prefixTokens; }
};

} // namespace almondscale
