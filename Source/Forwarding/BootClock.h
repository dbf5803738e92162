#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// Time of CLOCK_BOOTTIME: monotonic, and includes the time in which the machine was
// suspended, so that leases and deadlines expire on time after a resume.
MonotonicTime bootTime();

} // namespace almondscale
