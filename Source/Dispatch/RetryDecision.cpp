#include "Dispatch/RetryDecision.h"

namespace almondscale {

bool provesNotRun(AttemptFailure failure)
{
    return failure == AttemptFailure::NotConnected || failure == AttemptFailure::RefusedNotRun;
}

RetryDecision decideRetry(const FailedAttempt& attempt, const std::function<bool()>& tryBudget)
{
    const bool notRun = provesNotRun(attempt.failure) && !attempt.earlierMayHaveRun;
    if (attempt.failure == AttemptFailure::Conflict)
        return { false, ErrorKind::AnswerLost };
    if (!provesNotRun(attempt.failure) && !attempt.repeatable)
        return { false, ErrorKind::AnswerLost };
    if (attempt.deadline < Deadline(attempt.completionAt))
        return { false, notRun ? ErrorKind::DeadlineUnreachable : ErrorKind::DeadlinePassed };
    if (!tryBudget())
        return { false, notRun ? ErrorKind::RetryBudgetSpent : ErrorKind::AnswerLost };
    return { true, ErrorKind::None };
}

} // namespace almondscale
