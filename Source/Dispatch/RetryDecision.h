#pragma once

#include "Core/Deadline.h"
#include "Core/ErrorKind.h"
#include "Dispatch/AttemptFailure.h"

#include <functional>

namespace almondscale {

// An attempt that failed, with what matters for a further one.
struct FailedAttempt {
    AttemptFailure failure = AttemptFailure::NoAnswer;
    // Whether the call may be run more than once.
    bool repeatable = false;
    // Whether an earlier attempt of the same request may have run.
    bool earlierMayHaveRun = false;
    Deadline deadline = Deadline::never();
    // When a further attempt made now would be complete.
    MonotonicTime completionAt;
};

// Whether to try again; if not, the error that is true of the request.
struct RetryDecision {
    bool retry = false;
    ErrorKind error = ErrorKind::None;
};

// The budget is asked, and charged, only if nothing else speaks against a retry.
RetryDecision decideRetry(const FailedAttempt&, const std::function<bool()>& tryBudget);

} // namespace almondscale
