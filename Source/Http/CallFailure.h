#pragma once

namespace almondscale {

// What is known about a call that got no whole answer.
enum class CallFailure {
    // No connection was made, so the other side saw nothing of the call.
    NotSent,
    // The call may have reached the other side.
    AnswerLost,
};

} // namespace almondscale
