#include "Serving/DecodeTimes.h"

#include "Core/Milliseconds.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Used until the first stream of a route has ended.
    constexpr double defaultHoldMs = 300;
    constexpr double defaultFirstEventMs = 50;
    // Weight of the newest stream in the moving average.
    constexpr double averageWeight = 0.05;
    // A late first event is mostly due to the wait for a slot, so the estimate follows the fastest streams:
    // it drops by half of the difference, and rises by a fixed step per stream.
    constexpr double fasterWeight = 0.5;
    constexpr double slowerStepMs = 0.01;

} // namespace

void DecodeTimes::noteStream(const std::string& route, Nanoseconds toFirst, Nanoseconds toEnd)
{
    const double firstMs = toMs(toFirst);
    const auto known = m_times.find(route);
    if (known == m_times.end()) {
        m_times[route] = Times { firstMs, toMs(toEnd) };
        return;
    }
    auto& times = known->second;
    times.firstEventMs
        += firstMs < times.firstEventMs ? fasterWeight * (firstMs - times.firstEventMs) : slowerStepMs;
    const double held = toMs(toEnd - toFirst) + std::min(firstMs, times.firstEventMs);
    times.holdMs += (held - times.holdMs) * averageWeight;
}

double DecodeTimes::holdMs(const std::string& route) const
{
    const auto known = m_times.find(route);
    return known == m_times.end() ? defaultHoldMs : known->second.holdMs;
}

double DecodeTimes::firstEventMs(const std::string& route) const
{
    const auto known = m_times.find(route);
    return known == m_times.end() ? defaultFirstEventMs : known->second.firstEventMs;
}

} // namespace almondscale
