#include "Admission/RequestRate.h"

#include <chrono>
#include <cmath>

namespace almondscale {

namespace {

    constexpr Nanoseconds shortWindow = std::chrono::seconds(5);
    constexpr Nanoseconds longWindow = std::chrono::seconds(30);

    // The minimum rate, in requests per second, at which the short window contains enough requests.
    constexpr double shortWindowMinRate = 5;

    // Differences of fewer standard deviations are treated as noise.
    constexpr double standardDeviations = 2.5;

    // Counts one request as one second of work.
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
    // An exponential average has the variance of a moving average over twice its window.
    return standardDeviations
        * std::sqrt(perSecond(now) / (2 * std::chrono::duration<double>(window).count()));
}

bool RequestRate::isFrequent(MonotonicTime now) const
{
    return m_shortAverage.perSecond(now) >= shortWindowMinRate;
}

} // namespace almondscale
