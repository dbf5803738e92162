#include "Rules/RulesReplica.h"

#include "Core/Deadline.h"
#include "Core/LogEvent.h"
#include "Rules/RulesParser.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // The number of hosts per data centre that read the platform at readerInterval; the other hosts
    // pull from them.
    constexpr std::size_t readersPerDataCentre = 2;
    constexpr Nanoseconds readerInterval = seconds(1);
    // The mean time between platform reads of all other hosts of a data centre together.
    constexpr Nanoseconds nonReaderInterval = seconds(10);
    // The same for the hosts of a data centre that have no rules yet.
    constexpr Nanoseconds bootstrapInterval = milliseconds(100);
    constexpr Nanoseconds minNonReaderInterval = seconds(1);
    constexpr Nanoseconds readTimeout = seconds(2);
    constexpr Nanoseconds pullTimeout = milliseconds(500);
    // How long a host without rules collects the versions of its peers before it pulls from one.
    constexpr Nanoseconds peerDiscoveryTime = seconds(1);

} // namespace

class RulesReplica::Impl {
public:
    explicit Impl(RulesReplicaHooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    void tick(MonotonicTime now)
    {
        if (!m_startedAt)
            m_startedAt = now;
        if (m_pull && m_pull->deadline.passed(now))
            pullFailed(now, m_pull->peer);
        if (m_readDeadline && m_readDeadline->passed(now))
            platformUnavailable(now);
        readIfDue(now);
        pullIfBehind(now);
    }

    void peerVersion(MonotonicTime now, const HostId& peer, RulesVersion version)
    {
        m_peerVersions[peer] = version;
        pullIfBehind(now);
    }

    void peerGone(const HostId& peer) { m_peerVersions.erase(peer); }

    void pulled(MonotonicTime now, const HostId& peer, const RulesChange& change)
    {
        if (m_pull && m_pull->peer == peer)
            m_pull.reset();
        adopt(change);
        // A peer that returned an older version than it announced is pulled from again only after
        // its next heartbeat.
        const auto announced = m_peerVersions.find(peer);
        if (announced != m_peerVersions.end() && announced->second > version())
            m_peerVersions.erase(announced);
        pullIfBehind(now);
    }

    void pullFailed(MonotonicTime now, const HostId& peer)
    {
        if (!m_pull || m_pull->peer != peer)
            return;
        m_pull.reset();
        // The peer becomes a candidate again with its next heartbeat.
        m_peerVersions.erase(peer);
        pullIfBehind(now);
    }

    void platformRules(MonotonicTime now, const std::optional<RulesChange>& change)
    {
        finishRead(now);
        if (change)
            adopt(*change);
    }

    void platformUnavailable(MonotonicTime now)
    {
        finishRead(now);
        pullIfBehind(now);
    }

    std::shared_ptr<const RuleSet> rules() const { return m_rules; }
    RulesVersion version() const { return m_rules ? m_rules->version : RulesVersion(0); }
    std::optional<RulesChange> change() const { return m_change; }

private:
    struct Pull {
        HostId peer;
        Deadline deadline;
    };

    void adopt(const RulesChange& change)
    {
        if (change.version <= version())
            return;
        auto parsed = parseRules(change.text, change.version);
        if (!parsed.ok()) {
            LogEvent("rules_rejected", LogLevel::Error)
                .with("version", change.version)
                .with("line", parsed.errors.front().line)
                .with("error", parsed.errors.front().text);
            return;
        }
        m_rules = std::make_shared<const RuleSet>(std::move(parsed.rules));
        m_change = change;
        if (m_hooks.adopted)
            m_hooks.adopted(m_rules);
    }

    void readIfDue(MonotonicTime now)
    {
        if (m_readDeadline || (m_lastRead && now < *m_lastRead + readInterval()))
            return;
        m_readDeadline = Deadline::after(now, readTimeout);
        m_hooks.readPlatform(version());
    }

    // The interval grows with the number of hosts, so that the total read rate is constant.
    // The rank is evaluated on each call, so that a lost reader is replaced at once.
    Nanoseconds readInterval() const
    {
        const auto place = m_hooks.dataCentreRank();
        if (place.rank < readersPerDataCentre)
            return withJitter(readerInterval);
        const auto hosts = static_cast<Nanoseconds::rep>(place.hosts);
        return withJitter(
            std::max(minNonReaderInterval, hosts * (m_rules ? nonReaderInterval : bootstrapInterval)));
    }

    Nanoseconds withJitter(Nanoseconds interval) const
    {
        const auto jittered = static_cast<double>(interval.count()) * m_jitter;
        return Nanoseconds(static_cast<Nanoseconds::rep>(jittered));
    }

    void finishRead(MonotonicTime now)
    {
        m_platformAttempted = true;
        m_readDeadline.reset();
        m_lastRead = now;
        m_jitter = 0.75 + uniform(m_hooks.random) / 2;
    }

    void pullIfBehind(MonotonicTime now)
    {
        if (m_pull || !mayPull(now))
            return;
        const auto peer = newestPeer();
        if (!peer)
            return;
        m_pull = Pull { *peer, Deadline::after(now, pullTimeout) };
        m_hooks.pullFromPeer(*peer);
    }

    // A host without rules reads the platform first. If that fails, it waits for the heartbeats of
    // its peers, so that it starts with the highest version that it can reach.
    bool mayPull(MonotonicTime now) const
    {
        if (m_rules)
            return true;
        return m_platformAttempted && m_startedAt && now - *m_startedAt >= peerDiscoveryTime;
    }

    std::optional<HostId> newestPeer() const
    {
        auto best = version();
        for (const auto& peer : m_peerVersions)
            best = std::max(best, peer.second);
        if (best == version())
            return std::nullopt;
        std::vector<HostId> holders;
        for (const auto& peer : m_peerVersions) {
            if (peer.second == best)
                holders.push_back(peer.first);
        }
        return holders[uniformBelow(m_hooks.random, holders.size())];
    }

    RulesReplicaHooks m_hooks;
    std::shared_ptr<const RuleSet> m_rules;
    std::optional<RulesChange> m_change;
    // The version in the last heartbeat of each peer.
    std::map<HostId, RulesVersion> m_peerVersions;
    std::optional<Pull> m_pull;
    std::optional<Deadline> m_readDeadline;
    std::optional<MonotonicTime> m_lastRead;
    double m_jitter = 1;
    std::optional<MonotonicTime> m_startedAt;
    bool m_platformAttempted = false;
};

RulesReplica::RulesReplica(RulesReplicaHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(hooks)))
{
}

RulesReplica::~RulesReplica() = default;

void RulesReplica::tick(MonotonicTime now) { m_impl->tick(now); }

void RulesReplica::onPeerVersion(MonotonicTime now, const HostId& peer, RulesVersion version)
{
    m_impl->peerVersion(now, peer, version);
}

void RulesReplica::onPeerGone(const HostId& peer) { m_impl->peerGone(peer); }

void RulesReplica::onPulled(MonotonicTime now, const HostId& peer, const RulesChange& change)
{
    m_impl->pulled(now, peer, change);
}

void RulesReplica::onPullFailed(MonotonicTime now, const HostId& peer) { m_impl->pullFailed(now, peer); }

void RulesReplica::onPlatformRules(MonotonicTime now, const std::optional<RulesChange>& change)
{
    m_impl->platformRules(now, change);
}

void RulesReplica::onPlatformUnavailable(MonotonicTime now) { m_impl->platformUnavailable(now); }

std::shared_ptr<const RuleSet> RulesReplica::rules() const { return m_impl->rules(); }

RulesVersion RulesReplica::version() const { return m_impl->version(); }

std::optional<RulesChange> RulesReplica::change() const { return m_impl->change(); }

} // namespace almondscale
