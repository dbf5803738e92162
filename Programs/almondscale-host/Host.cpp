#include "Host.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/CallerSession.h"
#include "Forwarding/HttpListener.h"
#include "Forwarding/Signal.h"
#include "Forwarding/Spawn.h"
#include "ManifestDuty.h"
#include "OrderDuty.h"
#include "ReadyServer.h"
#include "RegistryDuty.h"
#include "platform/RequestWire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <set>

namespace almondscale {

namespace {

    // The balancer takes a host out after two misses, a second apart.
    constexpr Nanoseconds balancerTime = std::chrono::milliseconds(2500);
    // Requests that are still open so long before the process is killed are cut.
    constexpr Nanoseconds shutdownMargin = std::chrono::milliseconds(600);
    constexpr Nanoseconds shutdownPoll = std::chrono::milliseconds(50);
    constexpr Nanoseconds sweepPause = std::chrono::seconds(1);

} // namespace

class Host::Impl {
public:
    explicit Impl(platform::NodeSettings settings)
        : m_settings(std::move(settings))
        , m_pool(m_loop.get_executor())
        , m_wire(platform::makeServingWire())
        , m_directory(m_backends)
        , m_placement(m_backends, m_settings.dataCentre)
        , m_retries(m_settings.retries, initialHosts)
        , m_store(m_pool, m_settings.store)
        , m_manifestDuty(m_store, m_routes)
        , m_registryDuty(m_store, m_directory)
        , m_orderDuty(m_store, m_pool, m_routes, m_backends, m_demand, m_settings.host, m_settings.lease)
        , m_context { m_loop.get_executor(), m_wire, m_routes, m_backends, m_placement, m_retries, m_demand,
            m_pool, systemRandom() }
        , m_readyServer(m_loop.get_executor(), { [this] { return ready(); }, [this] { return metrics(); } })
        , m_listener(m_loop.get_executor(), [this](tcp::socket socket) { serve(std::move(socket)); })
    {
        m_directory.onGone = [this](const BackendRecord& record) { m_pool.forget(record.address); };
    }

    int run()
    {
        for (const auto& [address, error] :
            { std::pair { m_settings.callers, m_listener.start(m_settings.callers) },
                std::pair { m_settings.ready, m_readyServer.start(m_settings.ready) } }) {
            if (!error)
                continue;
            LogEvent("listen_failed", LogLevel::Error)
                .with("address", address.text())
                .with("error", error.message());
            return 1;
        }
        LogEvent("start").with("host", m_settings.host).with("data_centre", m_settings.dataCentre);
        start(m_manifestDuty.run());
        start(m_registryDuty.run());
        start(m_orderDuty.run());
        start(sweep());
        boost::asio::signal_set signals(m_loop, SIGTERM, SIGINT);
        signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error)
                start(shutDown());
        });
        boost::asio::signal_set reloads(m_loop, SIGHUP);
        awaitReload(reloads);
        m_loop.run();
        LogEvent("stop").with("open_requests", m_context.openRequests);
        return 0;
    }

private:
    // Until the other hosts are known, this host takes the part of one among many.
    static constexpr int initialHosts = 8;

    void start(awaitable<void> duty) { spawn(m_loop.get_executor(), std::move(duty)); }

    void awaitReload(boost::asio::signal_set& signals)
    {
        signals.async_wait([this, &signals](const boost::system::error_code& error, int) {
            if (error)
                return;
            LogEvent("reload").with("host", m_settings.host);
            awaitReload(signals);
        });
    }

    bool ready() const { return !m_context.stopping && !m_routes.empty() && m_directory.known(); }

    static std::string metrics() { return {}; }

    void serve(tcp::socket socket)
    {
        const auto session = std::make_shared<CallerSession>(m_context, std::move(socket));
        m_sessions.insert(session);
        spawn(m_loop.get_executor(), session->serve(), [this, session] { m_sessions.erase(session); });
    }

    awaitable<void> sweep()
    {
        for (;;) {
            co_await sleepFor(sweepPause);
            m_pool.sweep();
        }
    }

    awaitable<void> shutDown()
    {
        LogEvent("shutdown").with("open_requests", m_context.openRequests);
        const auto startedAt = bootTime();
        m_context.stopping = true;
        m_orderDuty.release();
        const auto last = Deadline::after(startedAt, m_settings.shutdownTime - shutdownMargin);
        while (!Deadline::after(startedAt, balancerTime).passed(bootTime()))
            co_await sleepFor(shutdownPoll);
        m_listener.stop();
        while (!last.passed(bootTime())) {
            for (const auto& session : std::set<std::shared_ptr<CallerSession>>(m_sessions))
                session->closeIfIdle();
            if (m_context.openRequests == 0 && m_sessions.empty())
                break;
            co_await sleepFor(shutdownPoll);
        }
        m_loop.stop();
    }

    platform::NodeSettings m_settings;
    boost::asio::io_context m_loop { 1 };
    ConnectionPool m_pool;
    ServingWire m_wire;
    RouteTable m_routes;
    BackendTable m_backends;
    BackendDirectory m_directory;
    Placement m_placement;
    RetryGate m_retries;
    DemandMeter m_demand;
    platform::StoreClient m_store;
    ManifestDuty m_manifestDuty;
    RegistryDuty m_registryDuty;
    OrderDuty m_orderDuty;
    ServingContext m_context;
    ReadyServer m_readyServer;
    HttpListener m_listener;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
};

Host::Host(platform::NodeSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Host::~Host() = default;

int Host::run() { return m_impl->run(); }

} // namespace almondscale
