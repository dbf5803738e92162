#include "Admission/RequestRate.h"

#include <chrono>
#include <cmath>

namespace almondscale {

namespace {

    constexpr Nanoseconds shortWindow = std::chrono::seconds(5);
    constexpr Nanoseconds longWindow = std::chrono::seconds(30);

    // From this many requests per second on, the brief window holds enough of them.
    constexpr double shortWindowMinRate = 5;

    // Differences of fewer standard deviations are taken for chance.
    constexpr double standardDeviations = 2.5;

    // One request, as the unit of a WorkRate.
    constexpr Nanoseconds oneRequest = std::chrono::seconds(1);

} // namespace

RequestRate::RequestRate()
    : m_shortAverage(0, shortWindow)
    , m_longAverage(0, longWindow)
{
}

void RequestRate::add(MonotonicTime now)
{
    m_shortAverage.add(oneRequest, now);
    m_longAverage.add(oneRequest, now);
}

double RequestRate::perSecond(MonotonicTime now) const
{
    return isFrequent(now) ? m_shortAverage.perSecond(now) : m_longAverage.perSecond(now);
}

double RequestRate::uncertainty(MonotonicTime now) const
{
    const auto window = isFrequent(now) ? shortWindow : longWindow;
    // An exponential average over the window varies as a plain one over twice its length.
    return standardDeviations
        * std::sqrt(perSecond(now) / (2 * std::chrono::duration<double>(window).count()));
}

bool RequestRate::isFrequent(MonotonicTime now) const
{
    return m_shortAverage.perSecond(now) >= shortWindowMinRate;
}

} // namespace almondscale
