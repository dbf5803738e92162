#pragma once

#include "Core/MonotonicTime.h"

#include <vector>

namespace almondscale {

// How the persistence of a gain is judged.
struct GainDurationSettings {
    Nanoseconds sampleInterval {};
    // A smaller gain counts as none.
    double minGain = 0;
    // What a first spell of gain is expected to last once it is old enough.
    Nanoseconds initialDuration {};
    int minInitialSamples = 3;
};

// How long a gain that is there now is expected to stay, judged by how long it stayed before.
// The samples say, the oldest first and the present one last, how large the gain was.
Nanoseconds expectedGainDuration(const std::vector<double>& gains, const GainDurationSettings&);

} // namespace almondscale
