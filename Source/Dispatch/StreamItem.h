#pragma once

#include "Core/AttemptId.h"

#include <cstdint>
#include <string>

namespace almondscale {

// One item of an engine's stream: a token, or the end of the answer.
struct StreamItem {
    AttemptId attempt;
    // Index of the token in the whole answer, independent of the requested offset.
    std::uint64_t index = 0;
    std::string token;
    bool done = false;
    // Number of tokens in the whole answer; set if done.
    std::uint64_t tokens = 0;
};

} // namespace almondscale
