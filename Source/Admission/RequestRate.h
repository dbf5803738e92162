#pragma once

#include "Admission/WorkRate.h"

namespace almondscale {

// The request rate of an organisation at one host, averaged over a short window at high rates and a
// long one at low rates.
class RequestRate {
public:
    RequestRate();

    void add(MonotonicTime now);
    double perSecond(MonotonicTime now) const;
    // The statistical uncertainty of the rate, in requests per second.
    double uncertainty(MonotonicTime now) const;

private:
    bool isFrequent(MonotonicTime now) const;

    WorkRate m_shortAverage;
    WorkRate m_longAverage;
};

} // namespace almondscale
