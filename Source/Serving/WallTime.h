#pragma once

#include "Core/MonotonicTime.h"

#include <chrono>

namespace almondscale {

// A time since the start of 1970, in UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Nanoseconds>;

} // namespace almondscale
