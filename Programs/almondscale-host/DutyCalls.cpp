#include "DutyCalls.h"

#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Calls may arrive closer together than they were sent.
    constexpr double usedShareOfLimit = 0.8;
    constexpr Nanoseconds leaseCheckInterval = std::chrono::milliseconds(100);
    // The platform responds with a status and a few bytes.
    constexpr std::size_t maxResponseBytes = 64 << 10;

    Nanoseconds intervalOf(double callsPerSecond)
    {
        return std::chrono::duration_cast<Nanoseconds>(
            std::chrono::duration<double>(1 / (usedShareOfLimit * callsPerSecond)));
    }

} // namespace

DutyCalls::DutyCalls(ConnectionPool& pool, const DutyLease& lease, const DutySettings& settings)
    : m_pool(pool)
    , m_lease(lease)
    , m_address(settings.address)
    , m_interval(intervalOf(settings.callsPerSecond))
{
}

awaitable<int> DutyCalls::send(MakeCall make, Deadline deadline)
{
    const auto turn = std::max(bootTime(), m_nextTurn);
    if (deadline.passed(turn))
        co_return 0;
    m_nextTurn = turn + m_interval;
    if (bootTime() < turn)
        co_await sleepFor(turn - bootTime());
    co_return co_await exchange(std::move(make), deadline);
}

awaitable<int> DutyCalls::exchange(MakeCall make, Deadline deadline)
{
    if (!m_lease.mayAct())
        co_return 0;
    auto connection = m_pool.take(m_address);
    if (!connection) {
        connection = m_pool.create(m_address);
        const auto error = co_await connection->connect(std::min(deadline, m_lease.validUntil()));
        if (error)
            co_return 0;
    }
    // The machine may have been suspended while it connected.
    if (!m_lease.mayAct())
        co_return 0;
    const auto call = make({ m_lease.host(), m_lease.fencing() });
    const auto watched = std::make_shared<BackendConnection*>(connection.get());
    spawn(co_await boost::asio::this_coro::executor, closeAfterLease(watched));
    const auto error
        = co_await connection->send(call.head, call.body, std::min(deadline, m_lease.validUntil()));
    int status = 0;
    if (!error) {
        // A slow platform may respond after the lease was renewed.
        const auto reply = co_await connection->readHead(false, deadline);
        if (reply) {
            status = reply.value().status;
            co_await connection->readWholeBody(maxResponseBytes, deadline);
        }
    }
    *watched = nullptr;
    // Closes a connection whose response was not read completely.
    m_pool.release(std::move(connection));
    co_return status;
}

awaitable<void> DutyCalls::closeAfterLease(std::shared_ptr<BackendConnection*> connection)
{
    while (*connection) {
        if (!m_lease.mayAct())
            (*connection)->close();
        co_await sleepFor(leaseCheckInterval);
    }
}

} // namespace almondscale
