#pragma once

#include "Roles/RoleCounts.h"
#include "Shift/Arrival.h"
#include "Shift/Fleet.h"
#include "Shift/Mix.h"
#include "Shift/PoolPolicy.h"
#include "Shift/ShiftFault.h"
#include "Shift/ShiftOutcome.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// One experiment: the same requests may be run under several policies.
class ShiftRun {
public:
    ShiftRun(Mix, Fleet, std::uint64_t seed, ShiftFault);

    // "almondscale", "fixed", "threshold" or "clairvoyant"; nothing for an unknown name.
    std::optional<ShiftOutcome> run(const std::string& policy) const;

    static const std::vector<std::string>& policies();

private:
    PoolResult runPools(const PoolPolicyMaker&) const;
    PoolResult bound() const;
    RoleCounts initialRoles(const PoolArrivals&) const;

    Mix m_mix;
    Fleet m_fleet;
    std::uint64_t m_seed;
    ShiftFault m_fault;
    std::vector<PoolArrivals> m_pools;
};

} // namespace almondscale
