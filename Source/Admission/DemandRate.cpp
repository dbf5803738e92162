#include "Admission/DemandRate.h"

#include <chrono>
#include <cmath>

namespace almondscale {

namespace {

    constexpr Nanoseconds briefWindow = std::chrono::seconds(5);
    constexpr Nanoseconds longWindow = std::chrono::seconds(30);

    // From this many requests per second on, the brief window holds enough of them.
    constexpr double frequentPerSecond = 5;

    // Differences of fewer standard deviations are taken for chance.
    constexpr double deviations = 2.5;

    // One request, as the unit of a WorkRate.
    constexpr Nanoseconds oneRequest = std::chrono::seconds(1);

} // namespace

DemandRate::DemandRate()
    : m_brief(0, briefWindow)
    , m_long(0, longWindow)
{
}

void DemandRate::add(MonotonicTime now)
{
    m_brief.add(oneRequest, now);
    m_long.add(oneRequest, now);
}

double DemandRate::perSecond(MonotonicTime now) const
{
    return frequent(now) ? m_brief.perSecond(now) : m_long.perSecond(now);
}

double DemandRate::uncertainty(MonotonicTime now) const
{
    const auto window = frequent(now) ? briefWindow : longWindow;
    // An exponential average over the window varies as a plain one over twice its length.
    return deviations * std::sqrt(perSecond(now) / (2 * std::chrono::duration<double>(window).count()));
}

bool DemandRate::frequent(MonotonicTime now) const { return m_brief.perSecond(now) >= frequentPerSecond; }

} // namespace almondscale
