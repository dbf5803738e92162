#pragma once

#include "Core/MonotonicTime.h"
#include "Roles/DemandEstimate.h"
#include "Roles/EngineProfile.h"

namespace almondscale {

// What the role policy is built with.
struct RoleSettings {
    EngineProfile profile;
    DemandEstimate::Settings estimate;
    // How long a change takes an engine away, draining included.
    Nanoseconds changeTime = std::chrono::seconds(12);
    // The longest time over which the gain of a change is counted.
    Nanoseconds horizon = std::chrono::seconds(120);
    // What the first spell of a new mix is expected to last.
    Nanoseconds initialGainDuration = std::chrono::seconds(60);
    // How long roles that have become wrong do harm before they are changed again.
    Nanoseconds reversalTime = std::chrono::seconds(30);
    // The shortest time between two decisions to change roles.
    Nanoseconds minDecisionInterval = std::chrono::seconds(20);
    // An engine's status older than this is not acted on.
    Nanoseconds maxStatusAge = std::chrono::seconds(5);
    // The share of the pool's engines that may change at once; at least one may.
    double maxChangingFraction = 0.34;
    // The share of the greatest rate that can be answered in time under uneven arrivals.
    double maxUtilisation = 0.92;
    // How many times its cost a change must bring.
    double minBenefitCostRatio = 1.5;
    // The least cost of a change while it lasts, as a share of the rate of requests.
    double minCostFraction = 0.05;
    // A gain smaller than this share of the rate of requests counts as none.
    double minGainFraction = 0.08;
};

} // namespace almondscale
