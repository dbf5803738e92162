#include "Roles/CapacityHistory.h"

#include <algorithm>

namespace almondscale {

CapacityHistory::CapacityHistory(const RoleCapacity& capacity)
    : m_capacity(capacity)
{
}

CapacityHistory::Sample CapacityHistory::evaluate(const Demand& demand) const
{
    Sample sample { demand.requestsPerSecond, {} };
    for (const auto& counts : m_counts)
        sample.answersPerSecond.push_back(m_capacity.answersPerSecond(counts, demand));
    return sample;
}

void CapacityHistory::update(const std::deque<Demand>& samples, std::uint64_t totalSamples, int engines)
{
    if (m_counts.empty() || m_counts.front().total() != engines) {
        m_counts = allRoleCounts(engines);
        m_samples.clear();
        m_totalSamples = totalSamples - samples.size();
    }
    const auto fresh = static_cast<std::size_t>(totalSamples - m_totalSamples);
    for (std::size_t i = samples.size() - std::min(fresh, samples.size()); i < samples.size(); ++i)
        m_samples.push_back(evaluate(samples[i]));
    m_totalSamples = totalSamples;
    while (m_samples.size() > samples.size())
        m_samples.pop_front();
}

std::size_t CapacityHistory::indexOf(const RoleCounts& counts) const
{
    const auto found = std::find(m_counts.begin(), m_counts.end(), counts);
    return static_cast<std::size_t>(found - m_counts.begin());
}

std::vector<double> CapacityHistory::gains(
    const RoleCounts& from, const RoleCounts& to, double maxUtilisation) const
{
    const auto fromIndex = indexOf(from);
    const auto toIndex = indexOf(to);
    std::vector<double> gains;
    for (const auto& sample : m_samples) {
        const double before
            = std::min(sample.requestsPerSecond, maxUtilisation * sample.answersPerSecond[fromIndex]);
        const double after
            = std::min(sample.requestsPerSecond, maxUtilisation * sample.answersPerSecond[toIndex]);
        gains.push_back(after - before);
    }
    return gains;
}

} // namespace almondscale
