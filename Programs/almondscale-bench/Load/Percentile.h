#pragma once

#include "Core/MonotonicTime.h"

#include <vector>

namespace almondscale {

// The smallest of the times that at least this share of them does not exceed; 0 for none.
Nanoseconds percentile(std::vector<Nanoseconds> times, double share);

} // namespace almondscale
