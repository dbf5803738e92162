#include "Dispatch/RetryBudget.h"

#include "Core/RandomSource.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// Requests and retries of one host to a pool that fails periodically.
struct BudgetFixture {
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> retries;

    void run(std::uint64_t seed, double perSecond)
    {
        const auto random = seededRandom(seed);
        RetryBudget budget;
        MonotonicTime now {};
        while (now.time_since_epoch() < 120s) {
            const double gap = -std::log(1 - uniform(random)) / perSecond;
            now += std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(gap));
            requests.push_back(now);
            budget.onRequest(now);
            // The pool fails for 15 s of every 30 s. Each attempt then fails at once and is
            // retried until the budget is exhausted.
            const bool dead = now.time_since_epoch() % 30s >= 15s;
            while (dead && budget.tryRetry(now))
                retries.push_back(now);
        }
    }

    static double within(const std::vector<MonotonicTime>& times, MonotonicTime from)
    {
        const auto first = std::lower_bound(times.begin(), times.end(), from);
        return static_cast<double>(std::lower_bound(first, times.end(), from + 10s) - first);
    }

    // Maximum ratio of attempts to requests in any window of 10 s.
    double worstRatio() const
    {
        double worst = 1;
        for (MonotonicTime from {}; from.time_since_epoch() <= 110s; from += 5ms) {
            const double count = within(requests, from);
            worst = std::max(worst, (count + within(retries, from)) / count);
        }
        return worst;
    }
};

} // namespace

TEST_CASE("RetryBudget, a failing pool, gets at most 1.1 attempts per request in any 10 s")
{
    const auto seed = GENERATE(1, 2, 3);
    const auto perSecond = GENERATE(10.0, 50.0, 200.0);
    BudgetFixture fixture;
    fixture.run(static_cast<std::uint64_t>(seed), perSecond);
    CAPTURE(seed, perSecond, fixture.requests.size(), fixture.retries.size());
    CHECK(fixture.worstRatio() <= 1.1);
    // The budget is not needlessly strict.
    CHECK(static_cast<double>(fixture.retries.size()) >= 0.01 * static_cast<double>(fixture.requests.size()));
}

TEST_CASE("RetryBudget, a host with few requests, is allowed the minimum of retries")
{
    RetryBudget budget;
    const MonotonicTime now { 100s };
    budget.onRequest(now);
    for (int i = 0; i < RetryBudgetOptions {}.minRetries; ++i)
        CHECK(budget.tryRetry(now));
    CHECK_FALSE(budget.tryRetry(now));
    CHECK_FALSE(budget.tryRetry(now + 9s));
    CHECK(budget.tryRetry(now + 10s));
}
