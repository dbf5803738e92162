#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// An exponentially averaged work rate, in seconds of work per second.
class WorkRate {
public:
    WorkRate(double initial, Nanoseconds window);

    void add(Nanoseconds work, MonotonicTime now);
    // Excludes the time up to now from the average, such as while the queue is empty.
    void restartAt(MonotonicTime now);
    double perSecond(MonotonicTime now) const;

private:
    double m_rate;
    double m_windowSeconds;
    MonotonicTime m_at {};
    bool m_started = false;
};

} // namespace almondscale
