#pragma once

#include "Load/LoadMix.h"
#include "Load/PlannedCall.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

// How many calls a run makes and to how many hosts.
struct PlanSize {
    double callsPerSecond = 20;
    Nanoseconds length = std::chrono::seconds(30);
    std::size_t hosts = 1;
    std::uint64_t seed = 1;
};

// Draws the calls of a run in the order of their times; the same seed draws the same.
std::vector<PlannedCall> planCalls(const LoadMix&, const PlanSize&);

// The prompt of a planned completion.
std::string promptOf(const PlannedCall&, const MixLine&);

} // namespace almondscale
