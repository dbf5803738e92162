#pragma once

namespace almondscale {

// Whether a call without a complete response may have reached the server.
enum class CallFailure {
    // No connection was established, so the server received nothing.
    NotSent,
    // The server may have received and executed the call.
    AnswerLost,
};

} // namespace almondscale
