#pragma once

#include "Forwarding/ConnectionPool.h"
#include "Serving/BackendLifetime.h"

#include <memory>

namespace almondscale {

// Tells a backend server that has ended from one that closed a single connection:
// nobody answers at its address, or who does closes a new connection at once.
class LivenessProbe {
public:
    explicit LivenessProbe(ConnectionPool&);
    ~LivenessProbe();

    // Whether the server has ended. One new connection answers all who ask at about the
    // same time; it is kept for requests if the server lives. Silence is no sign of an end.
    awaitable<bool> ended(BackendLifetime, Address);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
