#pragma once

#include <string>
#include <vector>

namespace almondscale {

// How far an answer is.
enum class AnswerState {
    Running,
    // Every token has been given out.
    Complete,
    // Attempts gave different tokens; the answer must not go on.
    Conflict,
};

// What an item of a stream brought: the tokens that can now go to the caller.
struct AnswerProgress {
    AnswerState state = AnswerState::Running;
    std::vector<std::string> tokens;
};

} // namespace almondscale
