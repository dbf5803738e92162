#pragma once

#include <chrono>
#include <functional>

namespace almondscale {

// A reading of a monotonic clock, which a fake clock can stand in for.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using Nanoseconds = std::chrono::nanoseconds;
using Clock = std::function<MonotonicTime()>;

// The clock of the running process.
Clock monotonicClock();

} // namespace almondscale
