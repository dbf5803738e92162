#pragma once

#include "Forwarding/ConnectionPool.h"
#include "Serving/BackendLifetime.h"

#include <memory>

namespace almondscale {

// Distinguishes a terminated backend server from one that closed a single connection. A server
// has terminated if its address refuses a new connection, or accepts and closes it at once, and
// no idle connection to the address is open.
class LivenessProbe {
public:
    explicit LivenessProbe(ConnectionPool&);
    ~LivenessProbe();

    // Whether the server has terminated. Concurrent calls for one server share a probe, and its
    // result is cached briefly. The connection goes to the pool if the server is alive. A
    // connect timeout does not count as terminated.
    awaitable<bool> hasTerminated(BackendLifetime, Address);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
