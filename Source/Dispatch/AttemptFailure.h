#pragma once

namespace almondscale {

// Reason why an attempt on a backend server failed.
enum class AttemptFailure {
    // No connection was established, so nothing was sent.
    NotConnected,
    // The backend server refused the request without running it.
    RefusedNotRun,
    // The connection was closed or timed out before the answer began.
    NoAnswer,
    // The connection was closed or timed out during the answer.
    Truncated,
    // Another attempt gave a different answer.
    Conflict,
};

// Whether the failure itself proves that the attempt did not run.
bool provesNotRun(AttemptFailure);

} // namespace almondscale
