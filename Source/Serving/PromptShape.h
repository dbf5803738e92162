#pragma once

#include "Core/TokenCount.h"
#include "Serving/PromptPart.h"

#include <cstdint>
#include <vector>

namespace almondscale {

// Size and prefix of a request's prompt, and the maximum size of its output.
struct PromptShape {
    TokenCount tokens;
    TokenCount maxOutput;
    // Hash of the prefix that the prompt shares with other requests, 0 if there is none.
    std::uint64_t prefixHash = 0;
    TokenCount prefixTokens;
    // The parts of the prompt in order. The last one belongs to this request or its session.
    std::vector<PromptPartId> parts;

    TokenCount uniqueTokens() const { return tokens - prefixTokens; }
};

} // namespace almondscale
