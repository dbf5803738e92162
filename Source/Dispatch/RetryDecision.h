#pragma once

#include "Core/Deadline.h"
#include "Core/ErrorKind.h"
#include "Dispatch/AttemptFailure.h"

#include <functional>

namespace almondscale {

// A failed attempt, with the facts that decide about a retry.
struct FailedAttempt {
    AttemptFailure failure = AttemptFailure::NoAnswer;
    // Whether the request may be run more than once.
    bool repeatable = false;
    // Whether an earlier attempt of the same request may have run.
    bool earlierMayHaveRun = false;
    Deadline deadline = Deadline::never();
    // Expected completion of a retry that is sent now.
    MonotonicTime completionAt;
};

// Whether to retry; if not, the error to report.
struct RetryDecision {
    bool retry = false;
    ErrorKind error = ErrorKind::None;
};

// Calls tryBudget, which charges the retry budget, only if nothing else forbids a retry.
RetryDecision decideRetry(const FailedAttempt&, const std::function<bool()>& tryBudget);

} // namespace almondscale
