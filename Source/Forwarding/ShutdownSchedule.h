#pragma once

#include "Core/Deadline.h"

namespace almondscale {

// When a host that shuts down ends its work.
struct ShutdownSchedule {
    // Until then the load balancer may send new connections, which are accepted.
    Deadline listenUntil;
    // Requests that are still open then fail. Requests with a later deadline are refused.
    Deadline requestsEnd;
    // Connections that are still open then are closed.
    Deadline connectionsEnd;

    // Whether a request with this deadline is certain to end before the shutdown.
    bool allows(Deadline request) const { return !(requestsEnd < request); }
};

} // namespace almondscale
