#include "Serving/TrueTime.h"

#include <algorithm>
#include <vector>

namespace almondscale {

namespace {

    constexpr Nanoseconds sampleLifetime = std::chrono::minutes(1);

} // namespace

void TrueTime::observe(MonotonicTime now, WallTime wall)
{
    m_samples.push_back({ now, wall.time_since_epoch() - now.time_since_epoch() });
    while (now - m_samples.front().takenAt > sampleLifetime)
        m_samples.pop_front();
    std::vector<Nanoseconds> offsets;
    offsets.reserve(m_samples.size());
    for (const auto& sample : m_samples)
        offsets.push_back(sample.offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    m_offset = *middle;
}

WallTime TrueTime::at(MonotonicTime time) const { return WallTime(time.time_since_epoch() + m_offset); }

} // namespace almondscale
