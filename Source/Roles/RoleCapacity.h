#pragma once

#include "Roles/Demand.h"
#include "Roles/EngineProfile.h"
#include "Roles/RoleCounts.h"

namespace almondscale {

// Works out how many answers a second a sharing out of roles can give at most.
class RoleCapacity {
public:
    explicit RoleCapacity(const EngineProfile&);

    // The rate of the demand does not matter, only the sizes.
    double answersPerSecond(const RoleCounts&, const Demand&) const;

    // The sharing out with the highest rate; the one with fewer specialised engines among equals.
    RoleCounts best(int engines, const Demand&) const;

    // Engine seconds for the two parts of one request on engines that do nothing else.
    double prefillSeconds(const Demand&) const;
    double decodeSeconds(const Demand&) const;

private:
    double batchSlots(const Demand&) const;
    double mixedEnginesNeeded(double prefillRate, double decodeRate, const Demand&) const;

    EngineProfile m_profile;
};

} // namespace almondscale
