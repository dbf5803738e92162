#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// A backend server's announcement, in a response, that it is shutting down.
struct LeavingNotice {
    MonotonicTime receivedAt {};
    // Received from the server itself; otherwise relayed by another host.
    bool direct = false;
};

} // namespace almondscale
