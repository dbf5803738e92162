#include "DutyCalls.h"

#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/HttpCaller.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Share of the accepted rate that is used, because an earlier holder may have used a part of it.
    constexpr double rateShare = 0.8;
    constexpr double minCallsPerSecond = 0.1;

} // namespace

DutyCalls::DutyCalls(ConnectionPool& pool, const DutyLease& lease, DutySettings settings)
    : m_pool(pool)
    , m_lease(lease)
    , m_settings(std::move(settings))
{
}

awaitable<bool> DutyCalls::awaitTurn(Deadline deadline)
{
    const auto now = bootTime();
    const auto at = std::max(now, m_nextAt);
    if (deadline.passed(at))
        co_return false;
    const double rate = std::max(minCallsPerSecond, rateShare * m_settings.callsPerSecond);
    m_nextAt = at + std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(1 / rate));
    if (at > now)
        co_await sleepFor(at - now);
    co_return true;
}

awaitable<int> DutyCalls::send(platform::PlatformCall call, Deadline deadline)
{
    if (!co_await awaitTurn(deadline) || !m_lease.mayAct())
        co_return 0;
    const auto reply = co_await callHttp(m_pool, m_settings.address, std::move(call.head),
        std::move(call.body), std::min(deadline, m_lease.validUntil()));
    co_return reply ? reply.value().head.status : 0;
}

} // namespace almondscale
