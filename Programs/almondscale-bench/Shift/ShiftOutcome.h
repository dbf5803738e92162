#pragma once

#include "Shift/PoolResult.h"

#include <cstdint>
#include <string>

namespace almondscale {

// How one run over all pools ended.
struct ShiftOutcome {
    std::string policy;
    std::uint64_t seed = 0;
    double seconds = 0;
    PoolResult result;
    // A bound has no single requests, so no latencies.
    bool isBound = false;

    // Answers in time per second.
    double goodput() const;
    double firstTokenP95Ms() const;
    double tokenGapP95Ms() const;
};

std::string shiftOutcomeLine(const ShiftOutcome&);
std::string shiftOutcomeJson(const ShiftOutcome&);

} // namespace almondscale
