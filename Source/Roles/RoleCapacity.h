#pragma once

#include "Roles/Demand.h"
#include "Roles/EngineProfile.h"
#include "Roles/RoleCounts.h"

namespace almondscale {

// Computes the maximum throughput of a role assignment, in answers per second.
class RoleCapacity {
public:
    explicit RoleCapacity(const EngineProfile&);

    // Only the request sizes of the demand are used, not its rate.
    double answersPerSecond(const RoleCounts&, const Demand&) const;

    // The assignment with the highest throughput. Of nearly equal ones, the one with more mixed
    // engines is preferred.
    RoleCounts best(int engines, const Demand&) const;

    // The engine time of each phase of one request, in seconds, on an engine specialised in that
    // phase.
    double prefillSeconds(const Demand&) const;
    double decodeSeconds(const Demand&) const;

private:
    double batchSlots(const Demand&) const;
    double mixedEnginesNeeded(double prefillRate, double decodeRate, const Demand&) const;

    EngineProfile m_profile;
};

} // namespace almondscale
