#pragma once

#include <chrono>

namespace almondscale {

// The time of day, by which counts of several hosts are put together.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

} // namespace almondscale
