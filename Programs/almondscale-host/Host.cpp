#include "Host.h"

#include "ConnectionLimits.h"
#include "Core/LogEvent.h"
#include "Core/RandomSource.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/CallerSession.h"
#include "Forwarding/HttpListener.h"
#include "Forwarding/Spawn.h"
#include "HostMetrics.h"
#include "Machine.h"
#include "ManifestAdoption.h"
#include "MemoryReport.h"
#include "Peers/PeerNetwork.h"
#include "PoolController.h"
#include "RoleController.h"
#include "Serving/BackendDirectory.h"
#include "Serving/EraObserver.h"
#include "Serving/ManifestFreshness.h"
#include "Serving/ServiceReachability.h"
#include "SettingsChange.h"
#include "StatusPages.h"
#include "StatusServer.h"
#include "SuspectCoordinator.h"
#include "TableSynchronizer.h"
#include "UsageController.h"
#include "platform/RequestWire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace almondscale {

namespace {

    // The load balancer removes a host after two failed checks, one second apart.
    constexpr Nanoseconds balancerRemovalTime = std::chrono::milliseconds(2500);
    // Requests that are still open this long before the process is killed fail.
    constexpr Nanoseconds shutdownMargin = std::chrono::milliseconds(600);
    // Time to send the responses of the requests that fail.
    constexpr Nanoseconds lastResponsesTime = std::chrono::milliseconds(200);
    constexpr Nanoseconds shutdownPollInterval = std::chrono::milliseconds(50);
    // A host that runs answers within this time. When all hosts start anew, callers wait for it.
    constexpr Nanoseconds manifestWaitTime = std::chrono::milliseconds(200);
    constexpr Nanoseconds manifestWaitPollInterval = std::chrono::milliseconds(20);
    constexpr Nanoseconds sweepInterval = std::chrono::milliseconds(250);
    // Read buffers, parser and coroutine frames of a connection to a server.
    constexpr std::size_t serverConnectionBytes = 24 << 10;
    // Receive and send buffers of the kernel for each caller. Larger ones would hold most of a large message
    // or response outside the host's account; the kernel doubles the value.
    constexpr int callerSocketBytes = 64 << 10;
    // While callers are sent to other data centres, one unreachable server is probed this often.
    constexpr Nanoseconds reachProbeInterval = std::chrono::milliseconds(400);
    // Connecting within the region takes a few milliseconds.
    constexpr Nanoseconds reachProbeTimeout = std::chrono::milliseconds(250);

} // namespace

class Host::Impl {
public:
    Impl(platform::NodeSettings settings, SettingsLoader loadSettings)
        : m_settings(std::move(settings))
        , m_loadSettings(std::move(loadSettings))
        , m_pool(m_loop.get_executor())
        , m_controlPool(m_loop.get_executor())
        , m_lifeProbe(m_pool)
        , m_wire(platform::makeServingWire())
        , m_directory(m_backends)
        , m_placement(m_backends, m_settings.dataCentre, placementOptions())
        , m_reach(m_backends, m_settings.dataCentre)
        , m_retries(m_settings.retries, assumedHosts)
        , m_freshness(
              m_settings.revocation, m_settings.tableBounds.manifest, bootTime(), m_settings.firstStart)
        , m_self { m_settings.host, m_settings.dataCentre, m_settings.peers, m_settings.strength }
        , m_store(m_controlPool, m_settings.store)
        , m_network(m_loop.get_executor(), m_self, m_settings.seeds, m_mirror, m_crashes,
              { [this] { return localWork(); }, [this](const PeerWork& work) { setPeerWork(work); },
                  [this](std::size_t& position) { return m_backends.leavingSince(position); },
                  [this](const BackendLifetime& server) {
                      return m_backends.noteLeaving(server, { bootTime(), false });
                  },
                  [this](std::size_t& position) { return m_backends.roleTransitionsSince(position); },
                  [this](
                      const RoleTransition& turn) { return m_backends.noteRoleTransition(turn, bootTime()); },
                  [this](std::uint64_t& version, std::size_t maxCount) {
                      return m_backends.limits().changesSince(version, maxCount);
                  },
                  [this](const LimitStatement& statement) {
                      return m_backends.limits().noteRelayed(statement, bootTime());
                  },
                  [this] { return m_settings.revocation.strict; }, [this] { return m_freshness.proof(); },
                  [this](const ManifestProof& proof) { m_freshness.onProof(proof); },
                  [this](std::uint64_t& version) {
                      return m_usage ? m_usage->changesSince(version) : std::vector<UsageRecord>();
                  },
                  [this](const UsageRecord& record) {
                      if (m_usage)
                          m_usage->addRecord(record);
                  },
                  [this](const std::set<HostId>& hosts, std::uint64_t& position) {
                      return m_usage ? m_usage->storedSince(hosts, position) : std::vector<UsageRecordId>();
                  },
                  [this](const UsageRecordId& id) {
                      if (m_usage)
                          m_usage->noteStored(id);
                  },
                  [this] { return m_usage ? m_usage->lastSent() : std::nullopt; },
                  [this](const SentReport& report) { return m_usage && m_usage->noteSent(report); },
                  [this] { return m_context.serverSpeeds.localSums(bootTime()); },
                  [this](ServerSpeeds::Sums sums) {
                      m_context.serverSpeeds.setRemoteSums(std::move(sums), bootTime());
                  },
                  [this] { return m_adoption.superseding(); },
                  [this](const std::string& text) { return m_adoption.onManifest(text); } })
        , m_adoption(m_routes, m_freshness, m_settings.dataCentres, adoptionDeadline(), adoptionHooks())
        , m_tableSynchronizer(m_store, m_mirror, m_self, m_settings.tableBounds,
              { [this] { return m_network.isReader(); }, [this](SharedTable table) { onTableRead(table); },
                  [this](SharedTable table) { onTableReadFailed(table); },
                  [this](SharedTable table, StoreVersion newest, MonotonicTime sentAt) {
                      if (table == SharedTable::Manifest)
                          m_freshness.onRead(sentAt, newest, m_mirror.version(table));
                  },
                  [this] { return hasKeys() && m_freshness.isReadDue(bootTime()); },
                  [this] { return m_freshness.startRead(bootTime()); } })
        , m_dutyLease(m_store, m_settings.host, m_settings.lease, [this] { return m_network.isReader(); })
        , m_roleController(m_controlPool, m_dutyLease, m_routes, m_backends,
              { [this] { return totalDemand(); },
                  [this](const RoleTransition& turn) {
                      if (m_backends.noteRoleTransition(turn, bootTime()))
                          m_network.publish();
                  },
                  [this](const BackendId& engine) { onEngineLeaving(engine); },
                  [this](const ServiceName& service) {
                      return m_poolController ? m_poolController->outlook(service) : std::nullopt;
                  },
                  [this](const ServiceName& service) { return m_speeds.speedOf(service).requestMs; } })
        , m_suspectCoordinator(m_store, m_crashes, m_settings.host)
        , m_pages(m_self, m_routes, m_backends, m_mirror, m_dutyLease.lease(), m_crashes)
        , m_context { m_loop.get_executor(), m_wire, m_routes, m_backends, m_placement, m_retries, m_demand,
            m_speeds, m_decodeTimes, m_pool, m_controlPool, m_lifeProbe, m_crashes,
            m_suspectCoordinator.lane(), systemRandom() }
        , m_readinessServer(
              m_loop.get_executor(), { [this] { return ready(); }, [this] { return metrics(); }, {} })
        , m_statusServer(m_loop.get_executor(), statusHooks())
        , m_listener(m_loop.get_executor(), [this](tcp::socket socket) { serve(std::move(socket)); })
    {
        startDuties();
        configureMemory();
        m_eras.onEra = [this](StoreEra before) { onEra(before); };
        m_store.onEraChange = [this](StoreEra) { m_eras.note(m_store.era()); };
        m_mirror.isEquivalent = [this](SharedTable table, const StoredRow& before, const StoredRow& after) {
            return table == SharedTable::Backends && !m_directory.isContested(BackendId(after.key))
                && platform::sameRegistration(before.value, after.value);
        };
        m_directory.onDisplaced = [](const BackendRecord& displaced, const BackendRecord& used) {
            LogEvent("backend_displaced", LogLevel::Warning)
                .with("backend", displaced.id)
                .with("service", displaced.service)
                .with("by", used.id)
                .with("by_service", used.service)
                .with("address", used.address.text());
        };
        m_directory.isServed
            = [this](const ServiceName& service) { return m_routes.service(service) != nullptr; };
        m_mirror.onCurrent = [this](SharedTable table, MonotonicTime now) {
            if (table == SharedTable::Backends)
                m_directory.onCurrent(now);
            if (table == SharedTable::Manifest)
                m_confirmedBefore = std::exchange(m_confirmedAt, m_mirror.currentAt(table));
        };
        m_mirror.onUpdate = [this](SharedTable table, const StoredRows& rows, MonotonicTime now) {
            m_eras.note(rows.newest.era);
            applyRows(table, rows, now);
        };
        m_context.onRequestEnd = [this](const RequestSummary& end) { m_metrics.onRequestEnd(end); };
        m_context.onBrokenRun
            = [this](const BrokenRun& run, bool serverEnded) { countBrokenRun(run, serverEnded); };
        m_context.onCrashRefusal = [this](const CrashSubject& subject) { m_metrics.onCrashRefusal(subject); };
        m_suspectCoordinator.isCutOff
            = [this] { return m_network.isReader() && m_network.lacksDataCentre(); };
        m_context.onServerLeaving = [this](const BackendLifetime&) {
            m_metrics.onServerNotice("leaving");
            m_network.publish();
        };
        m_context.onServerBarred = [this](const BackendLifetime&) { m_metrics.onServerNotice("barred"); };
        m_context.onWrongServer = [this](const BackendLifetime& server) { m_directory.noteAbsent(server); };
        m_context.onLimitChanged = [this] { m_network.publish(); };
        m_context.keyTrust
            = [this] { return m_freshness.keyTrust(bootTime(), m_mirror.currentAt(SharedTable::Manifest)); };
        m_context.onKeyRefusal = [this](ErrorKind kind) { m_metrics.onKeyRefusal(errorName(kind)); };
        m_context.manifestState = [this] { return manifestState(); };
        m_context.onOutdatedDecision
            = [this](const char* decision) { m_metrics.onOutdatedDecision(decision); };
        m_context.onLimitedSend = [this] { m_metrics.onLimitedSend(); };
        if (m_settings.duties && m_settings.duties->poolOrders)
            m_poolController = std::make_unique<PoolController>(m_loop.get_executor(), *m_dutyCalls,
                m_dutyLease, m_routes, m_backends, m_settings.dataCentres, poolHooks());
        m_backends.limits().setHostCount(assumedHosts);
        m_backends.limits().onEvent
            = [this](LimitEvent event, const BackendLifetime& server, RequestRate rate) {
                  m_metrics.onLimitEvent(limitEventName(event));
                  logLimit(event, server, rate);
              };
        m_directory.onRemoved = [this](const BackendRecord& record) {
            m_pool.closeIdle(record.address);
            m_controlPool.closeIdle(record.address);
            if (!record.draining)
                m_crashes.noteDeregistered(lifetimeOf(record), bootTime());
        };
    }

    int run()
    {
        m_listener.setSocketBuffers(callerSocketBytes);
        for (const auto& [address, error] :
            { std::pair { m_settings.callers, m_listener.start(m_settings.callers) },
                std::pair { m_settings.ready, m_readinessServer.start(m_settings.ready) },
                std::pair { m_settings.peers, m_network.start() },
                std::pair { statusAddress(), m_statusServer.start(statusAddress()) } }) {
            if (!error)
                continue;
            LogEvent("listen_failed", LogLevel::Error)
                .with("address", address.text())
                .with("error", error.message());
            return 1;
        }
        LogEvent("start").with("host", m_settings.host).with("data_centre", m_settings.dataCentre);
        for (const auto table : sharedTables)
            start(m_tableSynchronizer.follow(table));
        start(m_tableSynchronizer.enroll());
        start(m_network.run());
        start(awaitManifest());
        start(m_dutyLease.run());
        start(m_roleController.run());
        if (m_poolController)
            start(m_poolController->run());
        start(m_suspectCoordinator.run());
        if (m_usage) {
            start(m_usage->collect());
            start(m_usage->fixReports());
            start(m_usage->sendReports());
        }
        start(sweep());
        start(probeMissingServers());
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
    // Number of hosts assumed until the others are known, so that the first hosts to start do not each
    // use a large share of the retry budget.
    static constexpr int assumedHosts = 8;

    PlacementOptions placementOptions() const
    {
        PlacementOptions options;
        options.speedOf = [this](const ServiceName& service) { return m_speeds.speedOf(service); };
        options.random = systemRandom();
        options.hosts = [this] { return m_network.hostCount(); };
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        options.warmBeforeMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        if (m_settings.firstStart)
            options.warmBeforeMs.reset();
        return options;
    }

    void startDuties()
    {
        if (!m_settings.duties)
            return;
        m_dutyCalls.emplace(m_controlPool, m_dutyLease, *m_settings.duties);
        if (!m_settings.duties->usageReports)
            return;
        UsageController::Hooks hooks;
        hooks.isReader = [this] { return m_network.isReader(); };
        hooks.counts = [this] { return m_routes.manifest()->organisations.has_value(); };
        hooks.onReported = [this](UsageOutcome outcome, std::int64_t windows) {
            m_metrics.onUsageReport(outcome, windows);
        };
        hooks.onLate = [this] { m_metrics.onUsageLate(); };
        hooks.hearsHosts = [this] { return m_network.hearsHosts(); };
        hooks.tellHosts = [this] { m_network.publish(); };
        hooks.hostsKnow = [this](UsageWindow window) { return m_network.othersKnowUsageSent(window); };
        m_usage.emplace(
            m_store, *m_dutyCalls, m_dutyLease, m_settings.usage, m_settings.firstStart, std::move(hooks));
        m_context.onRunBegan = [this](const Organisation& organisation, MonotonicTime began) {
            m_usage->onRunBegan(organisation, began);
        };
    }

    void start(awaitable<void> task) { spawn(m_loop.get_executor(), std::move(task)); }

    void awaitReload(boost::asio::signal_set& signals)
    {
        signals.async_wait([this, &signals](const boost::system::error_code& error, int) {
            if (error)
                return;
            reload();
            awaitReload(signals);
        });
    }

    // Applies the changes that need no restart. Settings with errors change nothing.
    void reload()
    {
        const auto read = m_loadSettings();
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

    void applyRows(SharedTable table, const StoredRows& rows, MonotonicTime now)
    {
        switch (table) {
        case SharedTable::Manifest:
            m_adoption.onRows(rows, now);
            return;
        case SharedTable::Backends: {
            const auto changes = platform::decodeRegistrationRows(rows);
            logChanges(changes, rows.newest);
            if (rows.whole)
                m_directory.onSnapshot(changes, rows.newest, now);
            else
                m_directory.onChanges(changes, rows.newest, now);
            return;
        }
        case SharedTable::Hosts:
            applyHosts();
            return;
        }
    }

    void logLimit(LimitEvent event, const BackendLifetime& server, RequestRate rate)
    {
        const auto now = bootTime();
        const auto* backend = m_backends.find(server.backend);
        const auto service = backend ? backend->record.service : ServiceName();
        LogEvent("server_limit")
            .with("backend", server.backend)
            .with("state", limitEventName(event))
            .with("per_s", rate.perSecond())
            .with("share_per_s", m_backends.limits().share(server, service, now).perSecond())
            .with("sent_here", m_backends.limits().recentLocalSends(server, now))
            .with("sent", m_backends.limits().recentSends(server, now));
    }

    static void logChanges(const std::vector<BackendChange>& changes, StoreVersion version)
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

    ManifestAdoption::Hooks adoptionHooks()
    {
        return { [this] { return m_mirror.changesSince(SharedTable::Manifest, StoreVersion()); },
            [this] { return m_network.hasHeardHost(); }, [this](bool fromHost) { onAdopted(fromHost); } };
    }

    // A host that was restarted may find an older manifest in the store than the other hosts have in force.
    Deadline adoptionDeadline() const
    {
        return m_settings.firstStart ? Deadline() : Deadline::after(bootTime(), manifestWaitTime);
    }

    void onAdopted(bool fromHost)
    {
        const auto now = bootTime();
        const auto state = manifestState();
        const auto maxDelay = m_confirmedBefore == MonotonicTime() ? Nanoseconds() : now - m_confirmedBefore;
        m_metrics.onManifestInForce(maxDelay);
        m_directory.onServicesChanged();
        LogEvent("manifest_in_force")
            .with("version", state.version)
            .with("routes", m_routes.manifest()->routes.size())
            .with("store_version", m_mirror.version(SharedTable::Manifest))
            .with("from", fromHost ? "host" : copyOriginName(state.origin))
            .with("age_ms", msOf(state.age))
            .with("max_delay_ms", msOf(maxDelay))
            .with("bound_ms", msOf(state.bound));
    }

    awaitable<void> awaitManifest()
    {
        while (!m_adoption.poll(bootTime()))
            co_await sleepFor(manifestWaitPollInterval);
    }

    ManifestState manifestState() const
    {
        const auto table = SharedTable::Manifest;
        const auto age = m_mirror.empty(table) ? Nanoseconds() : bootTime() - m_mirror.currentAt(table);
        return { m_routes.version(), age, m_mirror.origin(table), m_settings.tableBounds.manifest };
    }

    static std::int64_t msOf(Nanoseconds time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    bool hasKeys() const { return m_routes.organisations(); }

    void applyHosts()
    {
        m_network.setHosts(enrolledHosts(m_mirror));
        m_backends.limits().setHostCount(m_network.hostCount());
        if (m_retries.setHosts(m_network.hostCount()))
            LogEvent("hosts").with("count", m_network.hostCount());
    }

    void onEra(StoreEra before)
    {
        m_freshness.onEra(m_eras.era(), bootTime());
        if (before != StoreEra())
            onStoreRestored(before);
    }

    // The store came back from an older copy of itself.
    void onStoreRestored(StoreEra before)
    {
        LogEvent event("store_restored", LogLevel::Warning);
        event.with("era", m_eras.era()).with("era_before", before).with("in_force", m_routes.version());
        for (const auto table : sharedTables)
            event.with(sharedTableName(table), m_mirror.version(table));
        m_metrics.onStoreRestored();
        m_suspectCoordinator.onStoreRestored();
        if (m_usage)
            m_usage->onStoreRestored();
    }

    void onTableRead(SharedTable table)
    {
        m_metrics.onStoreReading(sharedTableName(table), true);
        if (m_usage)
            m_usage->onStoreAnswered();
        m_network.publish();
    }

    void onTableReadFailed(SharedTable table)
    {
        m_metrics.onStoreReading(sharedTableName(table), false);
        if (m_usage)
            m_usage->onStoreFailed();
        if (table == SharedTable::Backends)
            m_directory.onReadFailed(bootTime());
    }

    PeerWork localWork()
    {
        const auto now = bootTime();
        auto demand = m_demand.demand(now);
        for (auto& entry : demand)
            entry.second.speed = m_speeds.localEstimate(entry.first);
        return { m_backends.localLoads(), std::move(demand), m_backends.recentlySentPrefixes(now),
            m_backends.limits().localTraffic(now) };
    }

    void setPeerWork(const PeerWork& work)
    {
        m_backends.setRemoteLoads(work.loads);
        m_backends.limits().setRemoteTraffic(work.traffic);
        m_backends.noteRemotePrefixes(work.sentPrefixes, bootTime());
        m_peerDemand = work.demand;
        for (const auto& entry : work.demand)
            m_speeds.setRemoteEstimate(entry.first, entry.second.speed);
    }

    void countBrokenRun(const BrokenRun& run, bool serverEnded)
    {
        m_metrics.onBrokenRun(serverEnded);
        if (!serverEnded)
            return;
        m_suspectCoordinator.noteServerEnd(run.subjects);
        m_network.publish();
    }

    // An engine announced that it is leaving in its response to a call of this host's own.
    void onEngineLeaving(const BackendId& engine)
    {
        const auto* backend = m_backends.find(engine);
        if (!backend || !m_backends.noteLeaving(lifetimeOf(backend->record), { bootTime(), true }))
            return;
        LogEvent("server_leaving").with("backend", engine);
        m_context.onServerLeaving(lifetimeOf(backend->record));
    }

    ServiceDemands totalDemand() const
    {
        PeerWork work { {}, m_demand.demand(bootTime()), {}, {} };
        work += PeerWork { {}, m_peerDemand, {}, {} };
        return work.demand;
    }

    PoolController::Hooks poolHooks()
    {
        return { [this] { return totalDemand(); },
            [this](const ServiceName& service) { return m_speeds.speedOf(service).requestMs; },
            [this] { return m_directory.hasSnapshot(); },
            [this](const PoolOrder& wanted, int registered) { m_metrics.setPool(wanted, registered); },
            [this] { m_metrics.clearPools(); } };
    }

    Address statusAddress() const { return Address { m_settings.ready.ip, hostStatusPort }; }

    StatusServer::Hooks statusHooks()
    {
        return { {}, [this] { return metrics(); },
            [this](const std::string& path) {
                return m_pages.page(
                    path, { ready(), m_network.isReader(), m_context.openRequests, proofAge() }, bootTime());
            } };
    }

    bool ready() const
    {
        return !m_context.shutdown && !m_routes.empty() && m_directory.hasSnapshot()
            && !m_context.servedElsewhere && !m_context.refusesKeys();
    }

    // Unset if callers have no keys, or without strict revocation.
    std::optional<Nanoseconds> proofAge() const
    {
        return hasKeys() && m_settings.revocation.strict ? m_freshness.age(bootTime()) : std::nullopt;
    }

    std::string metrics()
    {
        m_metrics.setOpenRequests(m_context.openRequests);
        m_metrics.setManifest(manifestState());
        m_metrics.setHosts(m_network.hostCount(), m_network.isReader());
        m_metrics.setBackends(m_backends.all().size());
        m_metrics.setBadParts(m_crashes.badParts());
        m_metrics.setLimitedServers(m_backends.limits().limitedCount());
        if (const auto age = proofAge())
            m_metrics.setProofAge(*age);
        if (m_usage)
            m_metrics.setUsageBacklog(m_usage->backlog());
        m_metrics.setMemory(
            m_context.memory, m_sessions.size(), m_pool.openCount() + m_controlPool.openCount());
        std::size_t unevenServers = 0;
        double slowestFactor = 1;
        for (const auto& entry : m_backends.all()) {
            const auto& factors = entry.second.factors;
            unevenServers += factors.prefill != 1 || factors.decode != 1 ? 1 : 0;
            slowestFactor = std::max({ slowestFactor, factors.prefill, factors.decode });
        }
        m_metrics.setUnevenServers(unevenServers, slowestFactor);
        return m_metrics.text();
    }

    void configureMemory()
    {
        const auto memory = static_cast<std::size_t>(m_settings.machine.memory.count());
        // Machines without a stated limit usually run other programs too.
        m_context.memory.setSize(memory > 0 ? MemoryBudget::bytesFor(memory) : machineMemory() / 4);
        m_context.memory.otherBytes
            = [this] { return (m_pool.openCount() + m_controlPool.openCount()) * serverConnectionBytes; };
        m_connectionLimits
            = ConnectionLimits::forDescriptors(availableDescriptors(m_settings.machine.descriptors),
                m_context.memory.size() / 2 / CallerSession::connectionBytes);
        m_context.maxServerConnections
            = std::min(m_connectionLimits.servers, m_context.memory.serverBytes() / serverConnectionBytes);
    }

    void sweepMemory()
    {
        auto& memory = m_context.memory;
        memory.sweep(bootTime());
        m_memoryReport.update(memory, m_sessions.size(), bootTime());
    }

    void serve(tcp::socket socket)
    {
        // The connection that was idle the longest is closed instead, if there is one; its caller opens
        // another.
        const bool full = m_sessions.size() >= m_connectionLimits.callers
            || !m_context.memory.hasRoom(CallerSession::connectionBytes);
        if (full && !m_context.memory.endOldestIdle()) {
            m_metrics.onCallerTurnedAway();
            return;
        }
        const auto session = std::make_shared<CallerSession>(m_context, std::move(socket));
        m_sessions.insert(session);
        spawn(m_loop.get_executor(), session->serve(), [this, session] { m_sessions.erase(session); });
    }

    awaitable<void> sweep()
    {
        for (;;) {
            co_await sleepFor(sweepInterval);
            m_pool.closeExpired();
            m_controlPool.closeExpired();
            sweepMemory();
            m_directory.sweep(bootTime());
            m_context.serverSpeeds.update(m_backends, bootTime());
            sweepCrashRecords();
            logKeyTrust();
            m_backends.limits().forgetAfterRemoval(
                [this](const BackendLifetime& server) { return isRegistered(server); }, bootTime());
            m_backends.forgetPrefixesBefore(bootTime() - m_placement.options().prefixLifetime);
        }
    }

    void logKeyTrust()
    {
        const bool refuses = m_context.refusesKeys();
        if (refuses == m_refusesKeys)
            return;
        m_refusesKeys = refuses;
        const auto age = m_freshness.age(bootTime());
        LogEvent(refuses ? "manifest_too_old" : "manifest_proven", LogLevel::Warning)
            .with("version", m_routes.version())
            .with("age_ms", age ? msOf(*age) : -1)
            .with("copy_in_force", m_adoption.copyInForce());
    }

    void sweepCrashRecords()
    {
        const bool current = m_directory.isCurrent(bootTime());
        m_crashes.sweep(
            bootTime(), [&](const BackendLifetime& server) { return current && isRegistered(server); });
    }

    bool isRegistered(const BackendLifetime& server) const
    {
        const auto* backend = m_backends.find(server.backend);
        return backend && lifetimeOf(backend->record) == server;
    }

    // Sends callers to other data centres while servers are missing for them here, and probes
    // those servers.
    awaitable<void> probeMissingServers()
    {
        for (std::size_t turn = 0;; ++turn) {
            co_await sleepFor(reachProbeInterval);
            const auto missing = m_reach.unreachableServers();
            if (missing.empty() == m_context.servedElsewhere) {
                m_context.servedElsewhere = !missing.empty();
                LogEvent(missing.empty() ? "servers_in_reach" : "servers_out_of_reach", LogLevel::Warning)
                    .with("missing", missing.size())
                    .with("service", missing.empty() ? ServiceName() : missing.front()->record.service);
            }
            if (missing.empty())
                continue;
            const auto record = missing[turn % missing.size()]->record;
            const auto connection = m_pool.create(record.address);
            const auto error = co_await connection->connect(Deadline::after(bootTime(), reachProbeTimeout));
            if (error)
                continue;
            // If one server of a data centre can be reached again, usually all can.
            for (const auto* other : m_reach.unreachableServers()) {
                if (other->record.dataCentre == record.dataCentre)
                    m_backends.noteOutcome(
                        BackendId(other->record.id), BackendOutcome::Connected, bootTime());
            }
        }
    }

    awaitable<void> shutDown()
    {
        LogEvent("shutdown").with("open_requests", m_context.openRequests);
        const auto startedAt = bootTime();
        const auto requestTime = m_settings.shutdownTime - shutdownMargin;
        const ShutdownSchedule schedule { Deadline::after(startedAt, balancerRemovalTime),
            Deadline::after(startedAt, requestTime),
            Deadline::after(startedAt, requestTime + lastResponsesTime) };
        m_context.shutdown = schedule;
        for (const auto& session : m_sessions)
            session->endRequestBy(schedule.requestsEnd);
        m_dutyLease.release();
        while (!schedule.listenUntil.passed(bootTime()))
            co_await sleepFor(shutdownPollInterval);
        m_listener.stop();
        while (!schedule.connectionsEnd.passed(bootTime())) {
            for (const auto& session : std::set<std::shared_ptr<CallerSession>>(m_sessions))
                session->closeIfIdle();
            if (m_context.openRequests == 0 && m_sessions.empty())
                break;
            co_await sleepFor(shutdownPollInterval);
        }
        if (m_usage)
            co_await m_usage->flush(schedule.connectionsEnd);
        m_loop.stop();
    }

    platform::NodeSettings m_settings;
    SettingsLoader m_loadSettings;
    boost::asio::io_context m_loop { 1 };
    ConnectionPool m_pool;
    ConnectionPool m_controlPool;
    LivenessProbe m_lifeProbe;
    ServingWire m_wire;
    RouteTable m_routes;
    BackendTable m_backends { systemRandom() };
    BackendDirectory m_directory;
    EngineSpeeds m_speeds;
    Placement m_placement;
    ServiceReachability m_reach;
    CrashRecords m_crashes;
    RetryLimiter m_retries;
    ManifestFreshness m_freshness;
    // When the copy of the manifest was last confirmed to be current, and the time before.
    MonotonicTime m_confirmedAt {};
    MonotonicTime m_confirmedBefore {};
    bool m_refusesKeys = false;
    DemandMeter m_demand;
    DecodeTimes m_decodeTimes;
    HostRecord m_self;
    EraObserver m_eras;
    platform::StoreClient m_store;
    RowMirror m_mirror;
    ServiceDemands m_peerDemand;
    PeerNetwork m_network;
    ManifestAdoption m_adoption;
    TableSynchronizer m_tableSynchronizer;
    DutyLease m_dutyLease;
    RoleController m_roleController;
    // Unset if the deployment has no such duties.
    std::optional<DutyCalls> m_dutyCalls;
    std::optional<UsageController> m_usage;
    std::unique_ptr<PoolController> m_poolController;
    SuspectCoordinator m_suspectCoordinator;
    HostMetrics m_metrics;
    StatusPages m_pages;
    ServingContext m_context;
    StatusServer m_readinessServer;
    StatusServer m_statusServer;
    HttpListener m_listener;
    ConnectionLimits m_connectionLimits;
    MemoryReport m_memoryReport;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
};

Host::Host(platform::NodeSettings settings, SettingsLoader loadSettings)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(loadSettings)))
{
}

Host::~Host() = default;

int Host::run() { return m_impl->run(); }

} // namespace almondscale
