#pragma once

#include "Core/MonotonicTime.h"

#include <vector>

namespace almondscale {

// How long a gain that is there now is expected to stay, judged by how long it stayed before.
// The samples say, the oldest first and the present one last, how large the gain was.
Nanoseconds expectedPersistence(const std::vector<double>& gains, Nanoseconds sampleSpan, double noticeable);

} // namespace almondscale
