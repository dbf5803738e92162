#pragma once

#include <chrono>
#include <functional>

namespace almondscale {

// A time on a monotonic clock. Tests and simulations use a fake clock.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using Nanoseconds = std::chrono::nanoseconds;
using Clock = std::function<MonotonicTime()>;

// The clock of the running process.
Clock monotonicClock();

} // namespace almondscale
