#pragma once

#include "Core/MonotonicTime.h"

#include <deque>

namespace almondscale {

// Limits of the retries of one host to one pool.
struct RetryBudgetOptions {
    Nanoseconds window = std::chrono::seconds(10);
    // Maximum ratio of retries to requests in the window.
    double maxRatio = 0.1;
    // Retries that each request adds to the saved budget, and, multiplied by the requests in the
    // window, the maximum that is saved. By default the two together stay below maxRatio, so that
    // windows that begin after the requests also keep the ratio.
    double earnedPerRequest = 0.04;
    // Retries always allowed in a window. Without them a host with few requests could never
    // resume a broken stream.
    int minRetries = 5;
};

// Limits the retries of one host to one pool. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions = {});

    // Call once for each request, at its first attempt.
    void onRequest(MonotonicTime now);
    // Whether this many retries are allowed now; if so, they are charged.
    bool tryRetry(MonotonicTime now, int count = 1);
    // New limits also apply to requests and retries already in the window.
    void setOptions(const RetryBudgetOptions& options) { m_options = options; }

private:
    void removeBefore(MonotonicTime);

    RetryBudgetOptions m_options;
    std::deque<MonotonicTime> m_requests;
    std::deque<MonotonicTime> m_retries;
    double m_saved = 0;
};

} // namespace almondscale
