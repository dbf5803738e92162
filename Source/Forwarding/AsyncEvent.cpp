#include "Forwarding/AsyncEvent.h"

#include "Forwarding/BootClock.h"

#include <boost/asio/this_coro.hpp>

namespace almondscale {

namespace {

    // Waits are split because steady_timer stops while the machine is suspended, whereas
    // deadlines use CLOCK_BOOTTIME.
    constexpr Nanoseconds maxTimerWait = std::chrono::seconds(30);

} // namespace

AsyncEvent::AsyncEvent(const boost::asio::any_io_executor& executor)
    : m_timer(executor)
{
}

void AsyncEvent::notify()
{
    m_notified = true;
    m_timer.cancel();
}

awaitable<bool> AsyncEvent::waitUntil(Deadline deadline)
{
    while (!m_notified) {
        const auto left = std::min<Nanoseconds>(deadline.remaining(bootTime()), maxTimerWait);
        if (left.count() <= 0)
            break;
        m_timer.expires_after(left);
        co_await m_timer.async_wait(noThrow);
    }
    const bool notified = m_notified;
    m_notified = false;
    co_return notified;
}

awaitable<void> sleepFor(Nanoseconds delay)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(delay);
    co_await timer.async_wait(noThrow);
}

} // namespace almondscale
