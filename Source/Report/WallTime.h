#pragma once

#include <chrono>

namespace almondscale {

// Wall-clock time in seconds; the buckets of different hosts are merged by it.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

} // namespace almondscale
