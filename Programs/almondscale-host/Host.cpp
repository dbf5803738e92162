#include "Host.h"

#include "Core/LogEvent.h"
#include "Core/RandomSource.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/CallerSession.h"
#include "Forwarding/HttpListener.h"
#include "Forwarding/Signal.h"
#include "Forwarding/Spawn.h"
#include "HostMetrics.h"
#include "MirrorDuty.h"
#include "OrderDuty.h"
#include "Peers/PeerNetwork.h"
#include "ReadyServer.h"
#include "Serving/BackendDirectory.h"
#include "Serving/ServiceReach.h"
#include "SettingsChange.h"
#include "StatusPages.h"
#include "SuspectDuty.h"
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
    constexpr Nanoseconds sweepPause = std::chrono::milliseconds(250);
    // While callers are sent elsewhere, one missing server is tried this often.
    constexpr Nanoseconds reachPause = std::chrono::milliseconds(400);
    // A connection within the region takes a few milliseconds.
    constexpr Nanoseconds reachTime = std::chrono::milliseconds(250);

} // namespace

class Host::Impl {
public:
    Impl(platform::NodeSettings settings, Reader readSettings)
        : m_settings(std::move(settings))
        , m_readSettings(std::move(readSettings))
        , m_pool(m_loop.get_executor())
        , m_ownCalls(m_loop.get_executor())
        , m_lifeProbe(m_pool)
        , m_wire(platform::makeServingWire())
        , m_directory(m_backends)
        , m_placement(m_backends, m_settings.dataCentre, placementOptions())
        , m_reach(m_backends, m_settings.dataCentre)
        , m_retries(m_settings.retries, initialHosts)
        , m_self { m_settings.host, m_settings.dataCentre, m_settings.peers, m_settings.strength }
        , m_store(m_ownCalls, m_settings.store)
        , m_network(m_loop.get_executor(), m_self, m_settings.seeds, m_mirror, m_crashes,
              { [this] { return ownWork(); }, [this](const PeerWork& work) { setOthersWork(work); },
                  [this](std::size_t& position) { return m_backends.leavingSince(position); },
                  [this](const BackendLifetime& server) {
                      return m_backends.noteLeaving(server, { bootTime(), false });
                  },
                  [this](std::size_t& position) { return m_backends.turnsSince(position); },
                  [this](const RoleTurn& turn) { return m_backends.noteTurn(turn, bootTime()); } })
        , m_mirrorDuty(m_store, m_mirror, m_self,
              { [this] { return m_network.reader(); }, [this](SharedTable table) { readDone(table); },
                  [this](SharedTable table) { readFailed(table); } })
        , m_orderDuty(m_store, m_ownCalls, m_routes, m_backends, m_settings.host, m_settings.lease,
              { [this] { return m_network.reader(); }, [this] { return totalDemand(); },
                  [this](const RoleTurn& turn) {
                      if (m_backends.noteTurn(turn, bootTime()))
                          m_network.publish();
                  },
                  [this](const BackendId& engine) { takeLeaving(engine); } })
        , m_suspectDuty(m_store, m_crashes, m_settings.host)
        , m_pages(m_self, m_routes, m_backends, m_mirror, m_orderDuty.lease())
        , m_context { m_loop.get_executor(), m_wire, m_routes, m_backends, m_placement, m_retries, m_demand,
            m_speeds, m_decodeTimes, m_pool, m_ownCalls, m_lifeProbe, m_crashes, m_suspectDuty.lane(),
            systemRandom() }
        , m_readyServer(
              m_loop.get_executor(), { [this] { return ready(); }, [this] { return metrics(); }, {} })
        , m_metricsServer(m_loop.get_executor(), pageHooks())
        , m_listener(m_loop.get_executor(), [this](tcp::socket socket) { serve(std::move(socket)); })
    {
        m_mirror.sameMeaning = [](SharedTable table, const std::string& before, const std::string& after) {
            return table == SharedTable::Backends && platform::sameRegistration(before, after);
        };
        m_mirror.onCurrent = [this](SharedTable table, MonotonicTime now) {
            if (table == SharedTable::Backends)
                m_directory.onCurrent(now);
        };
        m_mirror.onNews = [this](SharedTable table, const StoredRows& rows, MonotonicTime now) {
            takeNews(table, rows, now);
        };
        m_context.onRequestEnd = [this](const RequestEnd& end) { m_metrics.onRequestEnd(end); };
        m_context.onBrokenRun = [this](const BrokenRun& run, bool serverEnded) { takeEnd(run, serverEnded); };
        m_context.onServerLeaving = [this](const BackendLifetime&) {
            m_metrics.onServerWord("leaving");
            m_network.publish();
        };
        m_context.onServerBarred = [this](const BackendLifetime&) { m_metrics.onServerWord("barred"); };
        m_directory.onGone = [this](const BackendRecord& record) {
            m_pool.forget(record.address);
            m_ownCalls.forget(record.address);
            if (!record.draining)
                m_crashes.noteGone(lifetimeOf(record), bootTime());
        };
    }

    int run()
    {
        for (const auto& [address, error] :
            { std::pair { m_settings.callers, m_listener.start(m_settings.callers) },
                std::pair { m_settings.ready, m_readyServer.start(m_settings.ready) },
                std::pair { m_settings.peers, m_network.start() },
                std::pair { metricsAddress(), m_metricsServer.start(metricsAddress()) } }) {
            if (!error)
                continue;
            LogEvent("listen_failed", LogLevel::Error)
                .with("address", address.text())
                .with("error", error.message());
            return 1;
        }
        LogEvent("start").with("host", m_settings.host).with("data_centre", m_settings.dataCentre);
        for (const auto table : sharedTables)
            start(m_mirrorDuty.follow(table));
        start(m_mirrorDuty.enroll());
        start(m_network.run());
        start(m_orderDuty.run());
        start(m_suspectDuty.run());
        start(sweep());
        start(watchReach());
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

    PlacementOptions placementOptions() const
    {
        PlacementOptions options;
        options.speedOf = [this](const ServiceName& service) { return m_speeds.of(service); };
        options.random = systemRandom();
        options.hosts = [this] { return m_network.hostCount(); };
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        options.warmBeforeMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        if (m_settings.firstStart)
            options.warmBeforeMs.reset();
        return options;
    }

    void start(awaitable<void> duty) { spawn(m_loop.get_executor(), std::move(duty)); }

    void awaitReload(boost::asio::signal_set& signals)
    {
        signals.async_wait([this, &signals](const boost::system::error_code& error, int) {
            if (error)
                return;
            reload();
            awaitReload(signals);
        });
    }

    // Applies what a running host can; settings with errors change nothing.
    void reload()
    {
        const auto read = m_readSettings();
        for (const auto& error : read.errors)
            LogEvent("reload_refused", LogLevel::Error).with("error", error);
        if (!read.errors.empty())
            return;
        const auto change = compareSettings(m_settings, read.settings);
        LogEvent("reload").with("applied", change.applied()).with("needs_restart", change.needsRestart);
        if (change.retries)
            m_retries.setBounds(read.settings.retries);
        if (change.seeds)
            m_network.setSeeds(read.settings.seeds);
        m_settings.retries = read.settings.retries;
        m_settings.seeds = read.settings.seeds;
        m_settings.shutdownTime = read.settings.shutdownTime;
    }

    void takeNews(SharedTable table, const StoredRows& rows, MonotonicTime now)
    {
        switch (table) {
        case SharedTable::Manifest:
            takeManifest(rows);
            return;
        case SharedTable::Backends: {
            const auto changes = platform::registrationsIn(rows);
            logChanges(changes, rows.newest);
            if (rows.whole)
                m_directory.onSnapshot(changes, rows.newest, now);
            else
                m_directory.onChanges(changes, rows.newest, now);
            return;
        }
        case SharedTable::Hosts:
            takeHosts();
            return;
        }
    }

    static void logChanges(const std::vector<BackendChange>& changes, RowVersion version)
    {
        for (const auto& change : changes) {
            LogEvent event("backend", change.unreadable ? LogLevel::Warning : LogLevel::Info);
            event.with("backend", change.id).with("store_version", version);
            if (!change.record) {
                event.with("state", change.unreadable ? "unreadable" : "removed");
                continue;
            }
            event.with("state", change.record->draining ? "draining" : "ready")
                .with("service", change.record->service)
                .with("address", change.record->address.text());
            if (change.record->role)
                event.with("role", engineRoleName(*change.record->role));
        }
    }

    void takeManifest(const StoredRows& rows)
    {
        auto reading = platform::manifestIn(rows);
        if (reading.unreadable) {
            LogEvent("manifest_unreadable", LogLevel::Warning)
                .with("store_version", *reading.unreadable)
                .with("in_force", m_routes.version());
        }
        if (!reading.manifest || !m_routes.adopt(std::move(*reading.manifest)))
            return;
        LogEvent("manifest_in_force")
            .with("version", m_routes.version())
            .with("routes", m_routes.manifest()->routes.size())
            .with("store_version", rows.newest);
    }

    void takeHosts()
    {
        m_network.setHosts(enrolledHosts(m_mirror));
        if (m_retries.setHosts(m_network.hostCount()))
            LogEvent("hosts").with("count", m_network.hostCount());
    }

    void readDone(SharedTable table)
    {
        m_metrics.onStoreReading(sharedTableWord(table), true);
        m_network.publish();
    }

    void readFailed(SharedTable table)
    {
        m_metrics.onStoreReading(sharedTableWord(table), false);
        if (table == SharedTable::Backends)
            m_directory.onReadFailed(bootTime());
    }

    PeerWork ownWork()
    {
        const auto now = bootTime();
        auto demand = m_demand.demand(now);
        for (auto& entry : demand)
            entry.second.speed = m_speeds.told(entry.first);
        return { m_backends.ownLoads(), std::move(demand), m_backends.sentParts(now) };
    }

    void setOthersWork(const PeerWork& work)
    {
        m_backends.setOthersLoads(work.loads);
        m_backends.noteOthersParts(work.parts, bootTime());
        m_othersDemand = work.demand;
        for (const auto& entry : work.demand)
            m_speeds.setOthers(entry.first, entry.second.speed);
    }

    void takeEnd(const BrokenRun& run, bool serverEnded)
    {
        m_metrics.onBrokenRun(serverEnded);
        if (!serverEnded)
            return;
        m_suspectDuty.noteEnd(run.content);
        m_network.publish();
    }

    // An engine said that it leaves in an answer to this host's own call.
    void takeLeaving(const BackendId& engine)
    {
        const auto* backend = m_backends.find(engine);
        if (!backend || !m_backends.noteLeaving(lifetimeOf(backend->record), { bootTime(), true }))
            return;
        LogEvent("server_leaving").with("backend", engine);
        m_context.onServerLeaving(lifetimeOf(backend->record));
    }

    ServiceDemands totalDemand() const
    {
        PeerWork work { {}, m_demand.demand(bootTime()), {} };
        work += PeerWork { {}, m_othersDemand, {} };
        return work.demand;
    }

    Address metricsAddress() const { return Address { m_settings.ready.ip, hostStatusPort }; }

    ReadyServer::Hooks pageHooks()
    {
        return { {}, [this] { return metrics(); },
            [this](const std::string& path) {
                return m_pages.page(
                    path, { ready(), m_network.reader(), m_context.openRequests }, bootTime());
            } };
    }

    bool ready() const
    {
        return !m_context.stopping && !m_routes.empty() && m_directory.known() && !m_context.servedElsewhere;
    }

    std::string metrics()
    {
        m_metrics.setOpenRequests(m_context.openRequests);
        m_metrics.setManifest(m_routes.version());
        m_metrics.setHosts(m_network.hostCount(), m_network.reader());
        m_metrics.setBackends(m_backends.all().size());
        return m_metrics.text();
    }

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
            m_ownCalls.sweep();
            m_directory.sweep(bootTime());
            sweepCrashes();
            m_backends.forgetPartsBefore(bootTime() - m_placement.options().partLifetime);
        }
    }

    void sweepCrashes()
    {
        const bool current = m_directory.current(bootTime());
        m_crashes.sweep(bootTime(), [&](const BackendLifetime& server) {
            const auto* backend = m_backends.find(server.backend);
            return current && backend && lifetimeOf(backend->record) == server;
        });
    }

    // Leaves new callers to other data centres while a service has no server in reach.
    awaitable<void> watchReach()
    {
        for (std::size_t turn = 0;; ++turn) {
            co_await sleepFor(reachPause);
            const auto missing = m_reach.missing();
            if (missing.empty() == m_context.servedElsewhere) {
                m_context.servedElsewhere = !missing.empty();
                LogEvent(missing.empty() ? "servers_in_reach" : "servers_out_of_reach", LogLevel::Warning)
                    .with("missing", missing.size())
                    .with("service", missing.empty() ? ServiceName() : missing.front()->record.service);
            }
            if (missing.empty())
                continue;
            const auto record = missing[turn % missing.size()]->record;
            const auto connection = m_pool.make(record.address);
            const auto error = co_await connection->connect(Deadline::after(bootTime(), reachTime));
            if (error)
                continue;
            // What brought back one server of a data centre mostly brought back all.
            for (const auto* other : m_reach.missing()) {
                if (other->record.dataCentre == record.dataCentre)
                    m_backends.noteOutcome(BackendId(other->record.id), BackendOutcome::Reached, bootTime());
            }
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
    Reader m_readSettings;
    boost::asio::io_context m_loop { 1 };
    ConnectionPool m_pool;
    ConnectionPool m_ownCalls;
    LifeProbe m_lifeProbe;
    ServingWire m_wire;
    RouteTable m_routes;
    BackendTable m_backends;
    BackendDirectory m_directory;
    EngineSpeeds m_speeds;
    Placement m_placement;
    ServiceReach m_reach;
    CrashRecords m_crashes;
    RetryGate m_retries;
    DemandMeter m_demand;
    DecodeTimes m_decodeTimes;
    HostRecord m_self;
    platform::StoreClient m_store;
    RowMirror m_mirror;
    ServiceDemands m_othersDemand;
    PeerNetwork m_network;
    MirrorDuty m_mirrorDuty;
    OrderDuty m_orderDuty;
    SuspectDuty m_suspectDuty;
    HostMetrics m_metrics;
    StatusPages m_pages;
    ServingContext m_context;
    ReadyServer m_readyServer;
    ReadyServer m_metricsServer;
    HttpListener m_listener;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
};

Host::Host(platform::NodeSettings settings, Reader readSettings)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(readSettings)))
{
}

Host::~Host() = default;

int Host::run() { return m_impl->run(); }

} // namespace almondscale
