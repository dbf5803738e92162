#pragma once

#include "Core/MonotonicTime.h"

#include <cstdint>

namespace almondscale {

// Conversion to and from milliseconds as a number, for estimates that are summed and weighted.
inline double toMs(Nanoseconds time) { return static_cast<double>(time.count()) / 1e6; }

inline Nanoseconds fromMs(double ms) { return Nanoseconds(static_cast<std::int64_t>(ms * 1e6)); }

} // namespace almondscale
