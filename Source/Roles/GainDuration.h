#pragma once

#include "Core/MonotonicTime.h"

#include <vector>

namespace almondscale {

// Parameters of expectedGainDuration().
struct GainDurationSettings {
    Nanoseconds sampleInterval {};
    // Gains up to this value count as none.
    double minGain = 0;
    // The minimum expected duration of the first period of gain, once it has lasted for
    // minInitialSamples.
    Nanoseconds initialDuration {};
    int minInitialSamples = 3;
};

// Predicts how much longer the current gain will last from the lengths of earlier periods of gain.
// The samples are ordered by time, with the current one last. Returns 0 if there is no gain now.
Nanoseconds expectedGainDuration(const std::vector<double>& gains, const GainDurationSettings&);

} // namespace almondscale
