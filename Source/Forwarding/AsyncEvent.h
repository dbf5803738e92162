#pragma once

#include "Core/Deadline.h"
#include "Forwarding/Asio.h"

#include <boost/asio/steady_timer.hpp>

namespace almondscale {

// Auto-reset event that one coroutine waits for.
class AsyncEvent {
public:
    explicit AsyncEvent(const boost::asio::any_io_executor&);

    // Wakes the waiting coroutine, or lets the next wait return at once.
    void notify();
    // Returns false if the deadline passed without a notification.
    awaitable<bool> waitUntil(Deadline);

private:
    boost::asio::steady_timer m_timer;
    bool m_notified = false;
};

// Suspends the calling coroutine.
awaitable<void> sleepFor(Nanoseconds);

} // namespace almondscale
