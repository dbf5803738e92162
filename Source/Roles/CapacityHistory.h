#pragma once

#include "Roles/RoleCapacity.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace almondscale {

// The throughput that each role assignment would have had for each demand sample in the history.
class CapacityHistory {
public:
    explicit CapacityHistory(const RoleCapacity&);

    // Adds the new samples; those already known are not evaluated again. All are evaluated again if
    // the number of engines changes.
    void update(const std::deque<Demand>& samples, std::uint64_t totalSamples, int engines);

    // The difference in answers in time per second between the two assignments for each sample,
    // oldest first.
    std::vector<double> gains(const RoleCounts& from, const RoleCounts& to, double maxUtilisation) const;

private:
    struct Sample {
        double requestsPerSecond;
        // In the order of allRoleCounts().
        std::vector<double> answersPerSecond;
    };

    Sample evaluate(const Demand&) const;
    std::size_t indexOf(const RoleCounts&) const;

    RoleCapacity m_capacity;
    std::vector<RoleCounts> m_counts;
    std::deque<Sample> m_samples;
    std::uint64_t m_totalSamples = 0;
};

} // namespace almondscale
