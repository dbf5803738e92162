#pragma once

#include "Core/Deadline.h"
#include "Forwarding/Asio.h"

#include <boost/asio/steady_timer.hpp>

namespace almondscale {

// Lets one coroutine wait for another, at most until a deadline.
class AsyncEvent {
public:
    explicit AsyncEvent(const boost::asio::any_io_executor&);

    // Ends the wait under way, or the next one at once.
    void notify();
    // Whether it was notified before the deadline.
    awaitable<bool> waitUntil(Deadline);

private:
    boost::asio::steady_timer m_timer;
    bool m_notified = false;
};

// Waits on the loop of the running coroutine.
awaitable<void> sleepFor(Nanoseconds);

} // namespace almondscale
