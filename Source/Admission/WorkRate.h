#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// The rate at which work passes, averaged exponentially, in seconds of work a second.
class WorkRate {
public:
    WorkRate(double initial, Nanoseconds window);

    void add(Nanoseconds work, MonotonicTime now);
    // Time that does not count, such as while nothing waits.
    void restartAt(MonotonicTime now);
    double perSecond(MonotonicTime now) const;

private:
    double m_rate;
    double m_windowSeconds;
    MonotonicTime m_at {};
    bool m_started = false;
};

} // namespace almondscale
