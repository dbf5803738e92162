#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// That a backend server said in an answer that it leaves.
struct LeavingNotice {
    MonotonicTime receivedAt {};
    // Whether it said so to this host; otherwise another host passed it on.
    bool direct = false;
};

} // namespace almondscale
