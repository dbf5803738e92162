#include "RulesDuty.h"

#include "Core/LogEvent.h"

namespace almondscale {

namespace {

    constexpr std::size_t ringCapacity = 16;
    constexpr auto tickInterval = std::chrono::milliseconds(100);
    constexpr int popTimeoutMs = 100;

} // namespace

RulesDuty::RulesDuty(Table table, RulesDutyHooks hooks)
    : m_store(std::move(table))
    , m_hooks(std::move(hooks))
    , m_jobs(ringCapacity)
{
    RulesReplicaHooks keeperHooks;
    // The keeper asks for one thing of each kind at a time, so the ring has room.
    keeperHooks.pullFromPeer = [this](const HostId& peer) { m_jobs.push([this, peer] { pull(peer); }); };
    keeperHooks.readPlatform
        = [this](RulesVersion known) { m_jobs.push([this, known] { readPlatform(known); }); };
    keeperHooks.dataCentreRank = m_hooks.peers;
    keeperHooks.adopted = [this](const std::shared_ptr<const RuleSet>& rules) {
        LogEvent("rules_in_force").with("version", rules->version);
        m_hooks.adopted(rules);
    };
    keeperHooks.random = systemRandom();
    m_keeper = std::make_unique<RulesReplica>(std::move(keeperHooks));
}

RulesDuty::~RulesDuty() { stop(); }

void RulesDuty::start()
{
    m_running = true;
    m_decider = std::thread([this] {
        while (m_running) {
            {
                const std::lock_guard lock(m_mutex);
                m_keeper->tick(monotonicClock()());
            }
            std::this_thread::sleep_for(tickInterval);
        }
    });
    m_waiter = std::thread([this] {
        while (m_running) {
            if (const auto job = m_jobs.pop(popTimeoutMs))
                (*job)();
        }
    });
}

void RulesDuty::stop()
{
    m_running = false;
    for (std::thread* thread : { &m_decider, &m_waiter }) {
        if (thread->joinable())
            thread->join();
    }
}

void RulesDuty::onPeerVersion(const HostId& peer, RulesVersion version)
{
    const std::lock_guard lock(m_mutex);
    m_keeper->onPeerVersion(monotonicClock()(), peer, version);
}

void RulesDuty::onPeerGone(const HostId& peer)
{
    const std::lock_guard lock(m_mutex);
    m_keeper->onPeerGone(peer);
}

void RulesDuty::refresh() { readPlatform(version()); }

std::optional<RulesChange> RulesDuty::change() const
{
    const std::lock_guard lock(m_mutex);
    return m_keeper->change();
}

RulesVersion RulesDuty::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_keeper->version();
}

void RulesDuty::readPlatform(RulesVersion known)
{
    const auto newer = m_store.newerThan(known);
    const std::lock_guard lock(m_mutex);
    if (newer)
        m_keeper->onPlatformRules(monotonicClock()(), newer.value());
    else
        m_keeper->onPlatformUnavailable(monotonicClock()());
}

void RulesDuty::pull(const HostId& peer)
{
    const auto change = m_hooks.pullFromPeer(peer);
    const std::lock_guard lock(m_mutex);
    if (change)
        m_keeper->onPulled(monotonicClock()(), peer, *change);
    else
        m_keeper->onPullFailed(monotonicClock()(), peer);
}

} // namespace almondscale
