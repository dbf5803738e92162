#include "Host.h"

#include "AuthorityDuty.h"
#include "BurnDuty.h"
#include "CallerFrontend.h"
#include "ClosingBook.h"
#include "Core/LogEvent.h"
#include "DemandCounters.h"
#include "EngineIdList.h"
#include "EngineWatcher.h"
#include "HostContext.h"
#include "HostListDuty.h"
#include "HostViews.h"
#include "Http/ErrorResponse.h"
#include "Http/HttpServer.h"
#include "Http/JsonBuilder.h"
#include "LimitsDuty.h"
#include "Membership/MembershipService.h"
#include "OperatorFrontend.h"
#include "PeerPush.h"
#include "Peers.h"
#include "PeriodicDuty.h"
#include "Platform/PlatformClient.h"
#include "RulesDuty.h"

#include <condition_variable>
#include <thread>

namespace almondscale {

namespace {
    constexpr auto drainCheckInterval = std::chrono::milliseconds(20);
    constexpr auto closingInterval = std::chrono::milliseconds(50);
    constexpr auto quarantineInterval = std::chrono::milliseconds(100);
    constexpr auto closingsInterval = std::chrono::seconds(1);
    // Hosts of a data centre that compete for its leases.
    constexpr std::size_t leaseCandidates = 3;
    constexpr unsigned operatorThreads = 32;

    // Rises with each start of a process, whatever host it replaces.
    Incarnation newIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto count = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
        return Incarnation(static_cast<std::uint64_t>(count));
    }

    MembershipServiceSettings membershipSettings(const HostSettings& settings, Incarnation incarnation)
    {
        MembershipServiceSettings result;
        result.membership.host = settings.host;
        result.membership.address = settings.peersListen;
        result.membership.dataCentre = settings.dataCentre;
        result.membership.incarnation = incarnation;
        result.listen = settings.peersListen;
        result.keys.signing = settings.peersKey;
        result.keys.verifyOnly = settings.peersPreviousKey;
        return result;
    }

    RouterOptions routerOptions(const HostSettings& settings)
    {
        RouterOptions options;
        options.dataCentre = settings.dataCentre;
        return options;
    }

    AdmissionOptions admissionOptions(const HostSettings& settings)
    {
        AdmissionOptions options;
        options.maxRequests = static_cast<std::size_t>(settings.queueRequests);
        options.maxBytes = settings.queueBytes;
        return options;
    }

} // namespace

class Host::Impl {
public:
    explicit Impl(const HostSettings& settings)
        : m_settings(settings)
        , m_incarnation(newIncarnation())
        , m_ids(settings.host, m_incarnation)
        , m_platform(settings.platform, settings.platformTimeout)
        , m_store(m_platform.table())
        , m_engines(routerOptions(settings), admissionOptions(settings))
        , m_peers(m_membership, m_settings)
        , m_push(settings.host, pushHooks())
        , m_crashes(crashHooks())
        , m_keeper(m_engines, m_crashes, settings.dataCentre, monotonicClock(),
              [this](const std::string& key, const std::string& value) {
                  share(key, value);
                  reserveEngines();
                  m_push.push({ { key, value } });
              })
        , m_quarantine(m_keeper, settings.host, monotonicClock(), quarantineHooks())
        , m_limits(settings.host, m_rules, monotonicClock(), limitsHooks())
        , m_demand(monotonicClock()())
        , m_burn(settings.host, m_incarnation, m_rules, burnHooks())
        , m_context { m_settings, m_rules, m_engines, m_metrics, m_budgets, m_ids, m_crashes, m_quarantine,
            m_limits, m_demand, m_burn, monotonicClock() }
        , m_callers(m_context, m_incarnation, m_platform.table(), holderLive())
        , m_operators(
              operatorHooks(), [this] { return operatorKeys(); }, [this] { return peerKeys(); })
        , m_membership(membershipSettings(settings, m_incarnation), observers())
        , m_rulesDuty(m_platform.table(), rulesHooks())
        , m_watcher(m_engines, settings.dataCentre, settings.reportInterval)
        , m_hostList(m_platform, m_membership, m_engines, m_settings, m_peers)
        , m_closings(m_membership, m_engines, m_crashes, monotonicClock())
        , m_closingsDuty(closingInterval, [this] { m_closings.tick(); })
        , m_authority({ m_settings, m_incarnation, m_platform.table(), m_rules, m_engines, m_membership,
                          m_closings, monotonicClock() },
              m_demand, [this] { return m_peers.placeInDataCentre().rank < leaseCandidates; })
        , m_quarantineDuty(quarantineInterval, [this] { m_quarantine.tick(); })
        , m_bookingsDuty(closingsInterval, [this] { m_callers.retryClosings(); })
    {
    }

    void start()
    {
        if (const std::error_code error = m_membership.start())
            throw std::system_error(error, "peers' port");
        m_membership.publish(Peers::addressItem, m_settings.operatorsListen.text(), ItemScope::Everywhere);
        m_rulesDuty.start();
        m_watcher.start();
        m_hostList.start();
        m_bookingsDuty.start();
        m_quarantineDuty.start();
        m_closingsDuty.start();
        m_limits.start();
        m_burn.start();
        m_authority.start();
        m_operatorServer = std::make_unique<HttpServer>(
            m_settings.operatorsListen,
            [this](const HttpRequest& request, ReplyWriter& reply) { m_operators.serve(request, reply); },
            limits(operatorThreads));
        m_callerServer = std::make_unique<HttpServer>(
            m_settings.callersListen,
            [this](const HttpRequest& request, ReplyWriter& reply) { m_callers.serve(request, reply); },
            limits(static_cast<unsigned>(m_settings.maxThreads)));
        LogEvent("started")
            .with("host", m_settings.host)
            .with("data_centre", m_settings.dataCentre)
            .with("callers", m_settings.callersListen.text())
            .with("operators", m_settings.operatorsListen.text())
            .with("peers", m_settings.peersListen.text());
    }

    void requestShutdown()
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
        m_endAsked.notify_all();
    }

    void waitUntilEnded()
    {
        {
            std::unique_lock lock(m_mutex);
            m_endAsked.wait(lock, [this] { return m_ending; });
        }
        endGracefully();
    }

private:
    HttpLimits limits(unsigned threads) const
    {
        HttpLimits limits;
        limits.maxBody = m_settings.maxBody;
        limits.maxThreads = threads;
        limits.bodyTimeout = m_settings.bodyTimeout;
        limits.writeTimeout = m_settings.idleTimeout;
        return limits;
    }

    std::vector<std::string> operatorKeys() const { return { m_settings.operatorsKey }; }
    std::vector<std::string> peerKeys() const { return { m_settings.peersKey, m_settings.peersPreviousKey }; }

    OperatorHooks operatorHooks()
    {
        OperatorHooks hooks;
        hooks.applyRules = [this](const RulesProposal& proposal) {
            RulesApplyResult result = m_store.apply(proposal);
            m_rulesDuty.refresh();
            return result;
        };
        hooks.rulesInForce = [this] { return m_rulesDuty.change(); };
        hooks.rulesHistory = [this](std::size_t limit) { return m_store.history(RulesVersion(1), limit); };
        hooks.metrics = [this] { return metricsText(); };
        hooks.shutDown = [this] { requestShutdown(); };
        hooks.peerCalls["/peer/rules"] = [this](const std::string&) -> std::optional<std::string> {
            const auto change = m_rulesDuty.change();
            return change ? std::optional(rulesChangeJson(*change)) : std::nullopt;
        };
        hooks.peerCalls["/peer/quarantine"]
            = [this](const std::string& body) { return m_quarantine.answerPeer(body); };
        hooks.peerCalls["/peer/limits"] = [this](const std::string& body) {
            return m_limits.onMessages(body) ? std::optional(std::string("{}")) : std::nullopt;
        };
        hooks.peerCalls["/peer/burn"]
            = [this](const std::string&) { return std::optional(m_burn.ownSummary()); };
        hooks.views["/report/burn"] = [this](const HttpRequest& request) {
            const std::string format = request.queryParameter("format");
            HttpResponse response;
            response.body = m_burn.render(format);
            if (format == "svg")
                response.contentType = "image/svg+xml";
            return response;
        };
        hooks.peerCalls["/peer/items"] = [this](const std::string& body) { return m_push.onPush(body); };
        hooks.order = [this](const EngineId& engine, OrderKind kind, const std::string& value) {
            return m_authority.order(engine, kind, value);
        };
        const auto view = [&hooks](const char* path, const std::function<std::string()>& make) {
            hooks.views[path] = [make](const HttpRequest&) {
                HttpResponse response;
                response.body = make();
                return response;
            };
        };
        view("/status", [this] { return statusJson(); });
        view("/hosts", [this] { return membersJson(m_membership.members()); });
        view("/leases", [this] { return m_authority.json(); });
        view("/engines", [this] { return enginesJson(m_engines.engines()); });
        return hooks;
    }

    MembershipObservers observers()
    {
        MembershipObservers observers;
        observers.memberChanged = [this](const Member& member) {
            LogEvent("host_changed").with("host", member.host).with("live", member.live());
            if (!member.live())
                m_rulesDuty.onPeerGone(member.host);
            countPeers();
            reserveEngines();
        };
        observers.itemChanged = [this](const SharedItem& item) { takeItem(item); };
        observers.newerRulesSeen = [this](const Member& member) {
            if (member.host != m_settings.host)
                m_rulesDuty.onPeerVersion(member.host, member.rules);
        };
        return observers;
    }

    HolderLivenessCheck holderLive()
    {
        return [this](const HostId& host, Incarnation incarnation) {
            const auto member = m_membership.member(host);
            return member && member->live() && member->incarnation == incarnation;
        };
    }

    RulesDutyHooks rulesHooks()
    {
        RulesDutyHooks hooks;
        hooks.pullFromPeer = [this](const HostId& peer) { return pullRules(peer); };
        hooks.peers = [this] { return m_peers.placeInDataCentre(); };
        hooks.adopted = [this](const std::shared_ptr<const RuleSet>& rules) {
            m_engines.setRules(*rules);
            m_rules.set(rules);
            m_membership.setRules(rules->version);
        };
        return hooks;
    }

    CrashGuardHooks crashHooks()
    {
        CrashGuardHooks hooks;
        hooks.clock = monotonicClock();
        hooks.publish = [this](const std::string& key, const std::string& value) { share(key, value); };
        hooks.retract = [this](const std::string& key) { m_membership.retract(key); };
        hooks.push = [this](const std::vector<PushedItem>& items) { m_push.push(items); };
        return hooks;
    }

    BurnDutyHooks burnHooks()
    {
        BurnDutyHooks hooks;
        hooks.livePeers = [this] { return m_peers.live(); };
        hooks.pullSummary
            = [this](const HostId& peer) { return m_peers.call(peer, "GET", "/peer/burn", {}); };
        return hooks;
    }

    LimitsHooks limitsHooks()
    {
        LimitsHooks hooks;
        hooks.peers = [this] { return m_peers.sharingLimits(m_hostList.listedHosts()); };
        hooks.send = [this](const HostId& host, const std::string& messages) {
            return m_peers.call(host, "POST", "/peer/limits", messages).has_value();
        };
        return hooks;
    }

    QuarantineHooks quarantineHooks()
    {
        QuarantineHooks hooks;
        hooks.keeper = [this] { return m_peers.firstOfDataCentre(); };
        hooks.send = [this](const HostId& host, const std::string& ticket) {
            return m_peers.call(host, "POST", "/peer/quarantine", ticket);
        };
        return hooks;
    }

    PeerPushHooks pushHooks()
    {
        PeerPushHooks hooks;
        hooks.peers = [this] { return m_peers.live(); };
        hooks.send = [this](const HostId& host, const std::string& text) {
            return m_peers.call(host, "POST", "/peer/items", text).has_value();
        };
        hooks.take = [this](const HostId& host, const PushedItem& item) { takePushed(host, item); };
        return hooks;
    }

    void takePushed(const HostId& host, const PushedItem& item)
    {
        if (item.key.rfind(CrashGuard::itemPrefix, 0) == 0)
            return m_crashes.merge(item.value);
        {
            const std::lock_guard lock(m_pushedMutex);
            m_pushedReservations[{ host, item.key }] = item.value;
        }
        reserveEngines();
    }

    // Shares a text with all hosts; an empty text takes it back.
    void share(const std::string& key, const std::string& value)
    {
        if (value.empty())
            return m_membership.retract(key);
        if (const std::error_code error = m_membership.publish(key, value, ItemScope::Everywhere))
            LogEvent("item_not_shared", LogLevel::Warning).with("key", key).with("error", error.message());
    }

    void takeItem(const SharedItem& item)
    {
        const auto hasPrefix = [&item](const char* prefix) { return item.key.rfind(prefix, 0) == 0; };
        if (hasPrefix(CrashGuard::itemPrefix) && item.host != m_settings.host && !item.value.empty())
            m_crashes.merge(item.value);
        if (hasPrefix(QuarantineKeeper::itemPrefix))
            reserveEngines();
    }

    // What was pushed goes before what a heartbeat brought, as it is at least as new.
    void reserveEngines()
    {
        std::map<std::pair<HostId, std::string>, std::string> reservations;
        for (const SharedItem& item : m_membership.items(QuarantineKeeper::itemPrefix))
            reservations[{ item.host, item.key }] = item.value;
        {
            const std::lock_guard lock(m_pushedMutex);
            for (const auto& [source, value] : m_pushedReservations) {
                const auto member = m_membership.member(source.first);
                if (member && member->live())
                    reservations[source] = value;
            }
        }
        std::set<EngineId> reserved;
        for (const auto& [source, value] : reservations)
            readEngineIds(value, reserved);
        m_engines.setReserved(reserved);
    }

    std::optional<RulesChange> pullRules(const HostId& peer) const
    {
        const auto answer = m_peers.call(peer, "GET", "/peer/rules", {});
        return answer ? readRulesChange(*answer) : std::nullopt;
    }

    void countPeers() { m_engines.setLivePeers(static_cast<int>(m_peers.placeInDataCentre().hosts) - 1); }

    std::string metricsText()
    {
        int live = 0;
        for (const Member& member : m_membership.members())
            live += member.live() ? 1 : 0;
        std::size_t waiting = 0;
        for (const auto& pool : m_engines.pools())
            waiting += pool->waiting();
        m_metrics.setGauge("almondscale_hosts_live", "Hosts that this host holds for live.", live);
        m_metrics.setGauge("almondscale_requests_waiting", "Requests that wait for an engine.",
            static_cast<double>(waiting));
        m_metrics.setGauge(
            "almondscale_requests_running", "Requests that are being answered.", m_callers.running());
        m_metrics.setGauge("almondscale_rules_version", "The version of the rules in force.",
            static_cast<double>(m_rulesDuty.version().count()));
        return m_metrics.text();
    }

    std::string statusJson() const
    {
        return JsonBuilder()
            .text("host", m_settings.host.text())
            .text("data_centre", m_settings.dataCentre.text())
            .integer("incarnation", static_cast<std::int64_t>(m_incarnation.count()))
            .flag("ready", m_callers.ready())
            .integer("rules_version", static_cast<std::int64_t>(m_rulesDuty.version().count()))
            .integer("requests_running", m_callers.running())
            .text("version", ALMONDSCALE_VERSION)
            .finish();
    }

    void endGracefully()
    {
        LogEvent("shutting_down").with("running", m_callers.running());
        m_callers.drain();
        std::this_thread::sleep_for(m_settings.balancerGrace);
        while (m_callers.running() > 0)
            std::this_thread::sleep_for(drainCheckInterval);
        m_callerServer->stop();
        m_authority.stop();
        m_membership.leave();
        m_hostList.stop();
        m_bookingsDuty.stop();
        m_quarantineDuty.stop();
        m_closingsDuty.stop();
        m_limits.stop();
        m_burn.stop();
        m_rulesDuty.stop();
        m_operatorServer->stop();
        m_watcher.stop();
        m_membership.stop();
        LogEvent("ended").with("host", m_settings.host);
    }

    HostSettings m_settings;
    Incarnation m_incarnation;
    AttemptIds m_ids;
    PlatformClient m_platform;
    RulesStore m_store;
    RulesHolder m_rules;
    EngineDirectory m_engines;
    HostMetrics m_metrics;
    PoolBudgets m_budgets;
    Peers m_peers;
    PeerPush m_push;
    CrashGuard m_crashes;
    QuarantineKeeper m_keeper;
    Quarantine m_quarantine;
    LimitsDuty m_limits;
    DemandCounters m_demand;
    BurnDuty m_burn;
    HostContext m_context;
    CallerFrontend m_callers;
    OperatorFrontend m_operators;
    MembershipService m_membership;
    RulesDuty m_rulesDuty;
    EngineWatcher m_watcher;
    HostListDuty m_hostList;
    ClosingBook m_closings;
    PeriodicDuty m_closingsDuty;
    AuthorityDuty m_authority;
    PeriodicDuty m_quarantineDuty;
    PeriodicDuty m_bookingsDuty;
    std::unique_ptr<HttpServer> m_operatorServer;
    std::unique_ptr<HttpServer> m_callerServer;
    std::mutex m_pushedMutex;
    // The engines that hosts keep free, by host and item, as they pushed it.
    std::map<std::pair<HostId, std::string>, std::string> m_pushedReservations;
    std::mutex m_mutex;
    std::condition_variable m_endAsked;
    bool m_ending = false;
};

Host::Host(const HostSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Host::~Host() = default;

void Host::start() { m_impl->start(); }

void Host::requestShutdown() { m_impl->requestShutdown(); }

void Host::waitUntilEnded() { m_impl->waitUntilEnded(); }

} // namespace almondscale
