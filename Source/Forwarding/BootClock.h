#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// A monotonic clock that also counts the time for which the machine was
// suspended, so that leases and deadlines end on time after it wakes.
MonotonicTime bootTime();

} // namespace almondscale
