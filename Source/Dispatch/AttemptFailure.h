#pragma once

namespace almondscale {

// How an attempt at a backend server failed.
enum class AttemptFailure {
    // No connection came about, so nothing was sent.
    NotConnected,
    // The backend server said that it did not run the request.
    RefusedNotRun,
    // The connection ended or went silent before the answer began.
    NoAnswer,
    // The connection ended or went silent within the answer.
    Truncated,
    // Another attempt gave a different answer.
    Conflict,
};

// Whether the failure itself proves that the attempt did not run.
bool provesNotRun(AttemptFailure);

} // namespace almondscale
