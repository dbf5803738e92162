#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// The times of a lease.
struct LeaseSettings {
    // A successor waits so long after it last saw the row change.
    Nanoseconds duration = std::chrono::seconds(10);
    // The holder stops so much earlier, for clocks that run at different speeds.
    Nanoseconds clockDriftMargin = std::chrono::seconds(1);
    Nanoseconds renewInterval = std::chrono::seconds(3);
    // How often a host that does not hold the lease looks at the row.
    Nanoseconds watchInterval = std::chrono::seconds(2);
    Nanoseconds retryInterval = std::chrono::milliseconds(500);
    // A successor's first order waits so long after the predecessor's lease ended: at
    // least the time after which an engine drops a request that stays incomplete.
    Nanoseconds orderSettleTime = std::chrono::seconds(5);
};

} // namespace almondscale
