#pragma once

#include "Roles/RoleCapacity.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace almondscale {

// What each sharing out of the roles would have given for the demands of the long horizon.
class CapacityHistory {
public:
    explicit CapacityHistory(const RoleCapacity&);

    // Takes over the samples; those already seen are not worked out again.
    void update(const std::deque<Demand>& samples, std::uint64_t totalSamples, int engines);

    // Answers in time per second gained by the one sharing out over the other, the oldest sample first.
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
