#include "Admission/WorkRate.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

} // namespace

WorkRate::WorkRate(double initial, Nanoseconds window)
    : m_rate(initial)
    , m_windowSeconds(seconds(window))
{
}

void WorkRate::add(Nanoseconds work, MonotonicTime now)
{
    m_rate = perSecond(now) + seconds(work) / m_windowSeconds;
    restartAt(now);
}

void WorkRate::restartAt(MonotonicTime now)
{
    m_at = now;
    m_started = true;
}

double WorkRate::perSecond(MonotonicTime now) const
{
    if (!m_started)
        return m_rate;
    return m_rate * std::exp(-std::max(0.0, seconds(now - m_at)) / m_windowSeconds);
}

} // namespace almondscale
