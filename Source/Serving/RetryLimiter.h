#pragma once

#include "Core/ServiceName.h"
#include "Dispatch/RetryBudget.h"

#include <map>

namespace almondscale {

// Limits on what all hosts together send beyond the first attempt of each request.
struct RetryBounds {
    // Share of the requests in a window.
    double ratio = 0.2;
    // Further attempts allowed in a window whatever the number of requests.
    int minRetries = 0;
    Nanoseconds window = std::chrono::seconds(10);

    friend bool operator==(const RetryBounds& a, const RetryBounds& b)
    {
        return a.ratio == b.ratio && a.minRetries == b.minRetries && a.window == b.window;
    }
};

// Limits the further attempts of this host at each service to its share of the bounds: in proportion to its
// own requests, plus an equal part of minRetries. Needs no messages, so that hosts in a network partition
// stay within the bounds together.
class RetryLimiter {
public:
    RetryLimiter(RetryBounds, int hosts);

    void setBounds(const RetryBounds&);
    // Updates the share to the number of hosts. Returns whether the number changed.
    bool setHosts(int);
    void onRequest(const ServiceName&, MonotonicTime now);
    // Returns whether this many further sends are allowed now, and counts them if so.
    bool tryRetry(const ServiceName&, MonotonicTime now, int sends = 1);

private:
    RetryBudget& budget(const ServiceName&);
    // This host's share of the bounds.
    RetryBudgetOptions share() const;
    void applyShare();

    RetryBounds m_bounds;
    int m_hosts;
    std::map<ServiceName, RetryBudget> m_budgets;
};

} // namespace almondscale
