#include "Dispatch/RetryDecision.h"

#include "Core/ErrorInfo.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

TEST_CASE(
    "RetryDecision, every failure, is retried only if safe and otherwise reports correctly whether it ran")
{
    const auto failure = GENERATE(AttemptFailure::NotConnected, AttemptFailure::RefusedNotRun,
        AttemptFailure::NoAnswer, AttemptFailure::Truncated, AttemptFailure::Conflict);
    const bool repeatable = GENERATE(false, true);
    const bool earlier = GENERATE(false, true);
    const bool budget = GENERATE(false, true);
    const bool inTime = GENERATE(false, true);
    const MonotonicTime now { 10s };
    const FailedAttempt attempt { failure, repeatable, earlier, Deadline(now + 1s),
        now + (inTime ? 500ms : 2000ms) };
    int asked = 0;
    const auto decision = decideRetry(attempt, [&] {
        ++asked;
        return budget;
    });
    CAPTURE(static_cast<int>(failure), repeatable, earlier, budget, inTime);

    const bool thisRan = failure != AttemptFailure::NotConnected && failure != AttemptFailure::RefusedNotRun;
    if (decision.retry) {
        CHECK((repeatable || !thisRan));
        CHECK(failure != AttemptFailure::Conflict);
        CHECK(budget);
        CHECK(inTime);
        CHECK(asked == 1);
        return;
    }
    // A retry that is safe, within the budget and in time is never refused.
    const bool safe = (repeatable || !thisRan) && failure != AttemptFailure::Conflict;
    CHECK_FALSE((safe && budget && inTime));
    const bool saysNotRun = errorInfo(decision.error).execution == ExecutionStatus::NotRun;
    CHECK(saysNotRun == (!thisRan && !earlier));
}
