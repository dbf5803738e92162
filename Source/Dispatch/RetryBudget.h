#pragma once

#include "Core/MonotonicTime.h"

#include <deque>

namespace almondscale {

// Bounds of the attempts of one host at one pool.
struct RetryBudgetOptions {
    Nanoseconds window = std::chrono::seconds(10);
    // Further attempts over the window, as a part of the requests in it.
    double maxRatio = 0.1;
    // What each request adds to the budget, and the most that is kept of it, as a
    // part of the requests in the window. Both together stay below the share, so
    // that windows which begin after the requests are held as well.
    double earnedPerRequest = 0.04;
    // A host with few requests may make this many further attempts in a window;
    // without it a broken stream at a quiet host could never go on.
    int minRetries = 5;
};

// Bounds the further attempts that a host makes at one pool. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions = {});

    // To be called once for each request, at its first attempt.
    void onRequest(MonotonicTime now);
    // Whether so many further attempts may be made now; if so they are counted.
    bool tryRetry(MonotonicTime now, int count = 1);
    // Bounds that change count for what was sent before, too.
    void setOptions(const RetryBudgetOptions& options) { m_options = options; }

private:
    void removeBefore(MonotonicTime);

    RetryBudgetOptions m_options;
    std::deque<MonotonicTime> m_requests;
    std::deque<MonotonicTime> m_retries;
    double m_saved = 0;
};

} // namespace almondscale
