#include "Serving/DecodeTimes.h"

#include "Core/Milliseconds.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Before any stream of a route has ended.
    constexpr double defaultHoldMs = 300;
    constexpr double defaultFirstEventMs = 50;
    // Weight of the newest stream in the average.
    constexpr double averageWeight = 0.05;
    // Most of what makes a first event late is the wait for a place, so that the time follows
    // the fastest ones: half of the way down at once, up by so many milliseconds a stream.
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
