#pragma once

#include "Core/AttemptId.h"

#include <cstdint>
#include <string>

namespace almondscale {

// One line of an engine's stream: a token, or the end of the answer.
struct StreamItem {
    AttemptId attempt;
    // The token's place in the whole answer, whatever offset was asked for.
    std::uint64_t index = 0;
    std::string token;
    bool done = false;
    // The length of the whole answer, if this is its end.
    std::uint64_t tokens = 0;
};

} // namespace almondscale
