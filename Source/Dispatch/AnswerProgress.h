#pragma once

#include <string>
#include <vector>

namespace almondscale {

// State of an answer.
enum class AnswerState {
    Running,
    // Every token has been released.
    Complete,
    // Attempts gave different tokens; the answer must not be continued.
    Conflict,
};

// Result of accepting a stream item: the tokens to send to the caller now.
struct AnswerProgress {
    AnswerState state = AnswerState::Running;
    std::vector<std::string> tokens;
};

} // namespace almondscale
