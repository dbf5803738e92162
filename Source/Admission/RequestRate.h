#pragma once

#include "Admission/WorkRate.h"

namespace almondscale {

// The requests per second of an organisation at one host: averaged briefly where
// there are many, and for longer where there are few.
class RequestRate {
public:
    RequestRate();

    void add(MonotonicTime now);
    double perSecond(MonotonicTime now) const;
    // By how much the rate can differ by chance alone.
    double uncertainty(MonotonicTime now) const;

private:
    bool isFrequent(MonotonicTime now) const;

    WorkRate m_shortAverage;
    WorkRate m_longAverage;
};

} // namespace almondscale
