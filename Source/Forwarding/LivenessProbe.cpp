#include "Forwarding/LivenessProbe.h"

#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Servers in the region accept within a few milliseconds.
    constexpr Nanoseconds connectTimeout = milliseconds(100);
    // A connection that is accepted without a server behind it is closed within this time. Ample, since the
    // result decides whether a suspect may run on yet another server.
    constexpr Nanoseconds closeDetectionTime = milliseconds(250);
    constexpr Nanoseconds closePollInterval = milliseconds(5);
    // All attempts on a terminated server break at about the same time.
    constexpr Nanoseconds resultLifetime = milliseconds(250);

} // namespace

class LivenessProbe::Impl {
public:
    struct ProbeResult {
        bool ended = false;
        Deadline expiresAt;
        // Set while the probe is running; cancelled when it is done.
        std::shared_ptr<boost::asio::steady_timer> done;
    };

    explicit Impl(ConnectionPool& pool)
        : m_pool(pool)
    {
    }

    awaitable<bool> probe(Address address)
    {
        auto connection = m_pool.create(address);
        const bool hadIdle = m_pool.hasOpenIdle(address);
        const auto error = co_await connection->connect(Deadline::after(bootTime(), connectTimeout));
        if (error && error != std::errc::connection_refused && !connection->closedByServer())
            co_return false;
        const auto deadline = Deadline::after(bootTime(), closeDetectionTime);
        while (!deadline.passed(bootTime())) {
            if ((error || connection->closedByServer()) && areIdleClosed(address, hadIdle))
                co_return true;
            co_await sleepFor(closePollInterval);
        }
        if (!error && connection->isIdle())
            m_pool.addUnused(std::move(connection));
        co_return false;
    }

    // An idle connection that another request takes meanwhile is no evidence of a termination.
    bool areIdleClosed(const Address& address, bool hadIdle)
    {
        return !m_pool.hasOpenIdle(address) && (!hadIdle || m_pool.hasClosedIdle(address));
    }

    void removeExpired()
    {
        for (auto found = m_results.begin(); found != m_results.end();) {
            const bool old = !found->second.done && found->second.expiresAt.passed(bootTime());
            found = old ? m_results.erase(found) : std::next(found);
        }
    }

    ConnectionPool& m_pool;
    std::map<BackendLifetime, ProbeResult> m_results;
};

LivenessProbe::LivenessProbe(ConnectionPool& pool)
    : m_impl(std::make_shared<Impl>(pool))
{
}

LivenessProbe::~LivenessProbe() = default;

awaitable<bool> LivenessProbe::hasTerminated(BackendLifetime server, Address address)
{
    const auto impl = m_impl;
    impl->removeExpired();
    const auto found = impl->m_results.find(server);
    if (found != impl->m_results.end()) {
        if (const auto done = found->second.done)
            co_await done->async_wait(noThrow);
        const bool ended = impl->m_results[server].ended;
        co_return ended;
    }
    const auto done = std::make_shared<boost::asio::steady_timer>(
        co_await boost::asio::this_coro::executor, boost::asio::steady_timer::time_point::max());
    impl->m_results[server].done = done;
    const bool ended = co_await impl->probe(std::move(address));
    auto& result = impl->m_results[server];
    result.ended = ended;
    result.expiresAt = Deadline::after(bootTime(), resultLifetime);
    result.done.reset();
    done->cancel();
    co_return ended;
}

} // namespace almondscale
