#pragma once

#include "Admission/WorkRate.h"

namespace almondscale {

// The requests per second of an organisation at one host: averaged briefly where
// there are many, and for longer where there are few.
class DemandRate {
public:
    DemandRate();

    void add(MonotonicTime now);
    double perSecond(MonotonicTime now) const;
    // By how much the rate can differ by chance alone.
    double uncertainty(MonotonicTime now) const;

private:
    bool frequent(MonotonicTime now) const;

    WorkRate m_brief;
    WorkRate m_long;
};

} // namespace almondscale
