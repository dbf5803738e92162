#pragma once

#include "Core/MonotonicTime.h"
#include "Roles/DemandEstimate.h"
#include "Roles/EngineProfile.h"

namespace almondscale {

// Parameters of the role policy.
struct RoleSettings {
    EngineProfile profile;
    DemandEstimate::Settings estimate;
    // The time for which a role change makes an engine unavailable, including draining.
    Nanoseconds changeTime = std::chrono::seconds(12);
    // The maximum time over which the gain of a change is counted.
    Nanoseconds horizon = std::chrono::seconds(120);
    // The expected duration of the first period in which a change of roles brings a gain.
    Nanoseconds initialGainDuration = std::chrono::seconds(60);
    // How long unsuitable roles stay in place after the workload reverts, before they are changed
    // again.
    Nanoseconds reversalTime = std::chrono::seconds(30);
    // The minimum time between two decisions to change roles.
    Nanoseconds minDecisionInterval = std::chrono::seconds(20);
    // No change is decided while the status of any engine is older than this.
    Nanoseconds maxStatusAge = std::chrono::seconds(5);
    // The maximum fraction of the pool's engines that change at the same time; at least one may
    // always change.
    double maxChangingFraction = 0.34;
    // The fraction of the maximum throughput that can be answered in time with uneven arrivals.
    double maxUtilisation = 0.92;
    // The minimum ratio of the benefit of a change to its cost.
    double minBenefitCostRatio = 1.5;
    // The minimum cost of changing one engine, as a fraction of the request rate for the duration
    // of the change.
    double minCostFraction = 0.05;
    // Gains up to this fraction of the request rate count as none.
    double minGainFraction = 0.08;
};

} // namespace almondscale
