#pragma once

#include "Core/ServiceName.h"
#include "Dispatch/RetryBudget.h"

#include <map>

namespace almondscale {

// What all hosts together may send beyond the first attempt of each request.
struct RetryBounds {
    // Part of the requests in a window.
    double ratio = 0.2;
    // Further attempts in a window whatever the number of requests.
    int minRetries = 0;
    Nanoseconds window = std::chrono::seconds(10);

    friend bool operator==(const RetryBounds& a, const RetryBounds& b)
    {
        return a.ratio == b.ratio && a.minRetries == b.minRetries && a.window == b.window;
    }
};

// Keeps this host's share of the further attempts at each service: its part of
// the requests, and an equal part of what is allowed without them. No message
// is needed, and hosts that are cut off stay within the bound together.
class RetryLimiter {
public:
    RetryLimiter(RetryBounds, int hosts);

    // The operators' bounds have changed.
    void setBounds(const RetryBounds&);
    // Hosts come and go; the shares follow. Whether their number changed.
    bool setHosts(int);
    void onRequest(const ServiceName&, MonotonicTime now);
    // Whether so many further sends are allowed now; if so they are counted.
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
