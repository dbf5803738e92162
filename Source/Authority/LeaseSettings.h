#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// Durations and intervals of a lease.
struct LeaseSettings {
    // How long a successor waits after it first read the current row version.
    Nanoseconds duration = std::chrono::seconds(10);
    // How much earlier the holder stops acting, since the hosts' clocks run at different rates.
    Nanoseconds clockDriftMargin = std::chrono::seconds(1);
    Nanoseconds renewInterval = std::chrono::seconds(3);
    // How often a host that does not hold the lease reads the row.
    Nanoseconds watchInterval = std::chrono::seconds(2);
    Nanoseconds retryInterval = std::chrono::milliseconds(500);
    // How long a new holder waits after the acquisition before its first order. At least the
    // time after which an engine drops an incomplete request, so that no order of the
    // predecessor can take effect later; at least `duration` too if the store may lose the row
    // of a holder, since its successor then does not know to wait.
    Nanoseconds orderSettleTime = std::chrono::seconds(5);
};

} // namespace almondscale
