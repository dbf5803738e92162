#include "Membership/LinkSelection.h"
#include "Membership/MembershipImpl.h"

#include <algorithm>

namespace almondscale {

namespace {

    constexpr auto maintenanceInterval = std::chrono::milliseconds(250);

} // namespace

void Membership::Impl::tick()
{
    const auto now = m_hooks.clock();
    if (now - m_lastTick > m_settings.pauseThreshold)
        handlePause(now);
    m_lastTick = now;
    refillBudget(now);
    expireProbes(now);
    expireSuspicions(now);
    if (!m_leaving) {
        probeNext(now);
        probeLinks(now);
        rejoin(now);
    }
    m_requests.tick(now);
    publishPendingLocalItems(now);
    pushUrgent(now);
    if (now < m_nextMaintenance)
        return;
    m_nextMaintenance = now + maintenanceInterval;
    removeExpiredMembers(now);
    reportReachability(now);
}

// After a pause of this process, missing acks prove nothing about the peers: drops the outstanding probes and
// restarts the suspicion and contact timeouts.
void Membership::Impl::handlePause(MonotonicTime now)
{
    ++m_counters.pauses;
    m_probes.clear();
    m_members.extendSuspicions(now);
    for (auto& [dataCentre, contact] : m_contacts)
        contact = now;
}

void Membership::Impl::probeNext(MonotonicTime now)
{
    if (now < m_nextProbe)
        return;
    m_nextProbe = now + m_settings.probeInterval;
    const auto host = m_order.next(liveHosts(m_settings.dataCentre), m_hooks.random);
    if (host)
        startProbe(*host, m_members.find(*host)->record.address, true, now);
}

void Membership::Impl::startProbe(
    const HostId& host, const Address& address, bool raisesSuspicion, MonotonicTime now)
{
    const auto sequence = ++m_sequence;
    Probe probe { host, address, now, 0, false, raisesSuspicion };
    const auto* entry = m_members.find(host);
    // A host that is not known to be live gets no retries; rejoin() tries it again later.
    if (!entry || !entry->record.live())
        probe.retries = m_settings.pingRetryDelays.size();
    m_probes[sequence] = probe;
    sendPing(sequence, host, address, false);
}

void Membership::Impl::sendPing(
    std::uint64_t sequence, const HostId& host, const Address& address, bool reconnect)
{
    auto frame = makeFrame(FrameKind::Ping);
    frame.sequence = sequence;
    frame.target = host;
    frame.reconnect = reconnect;
    const auto* entry = m_members.find(host);
    const auto to = entry ? entry->record.dataCentre : DataCentre();
    // Tells the host that it is suspected or considered dead, so that it can refute.
    if (entry && entry->record.state != MemberState::Alive)
        frame.members.push_back(entry->record);
    frame.view = m_view;
    frame.everywhereView = m_everywhereView;
    if (to == m_settings.dataCentre)
        addContacts(frame, m_hooks.clock());
    addGossip(frame, to);
    send(address, frame);
}

void Membership::Impl::expireProbes(MonotonicTime now)
{
    std::vector<std::uint64_t> ended;
    for (auto& [sequence, probe] : m_probes) {
        if (!advanceProbe(sequence, probe, now))
            ended.push_back(sequence);
    }
    for (const auto sequence : ended) {
        const auto probe = m_probes[sequence];
        m_probes.erase(sequence);
        if (probe.raisesSuspicion)
            suspect(probe.host, now);
    }
    for (auto at = m_relayedPings.begin(); at != m_relayedPings.end();)
        at = now >= at->second.expiresAt ? m_relayedPings.erase(at) : std::next(at);
}

// Retries an unanswered ping and requests indirect probes; returns false once the probe has failed.
bool Membership::Impl::advanceProbe(std::uint64_t sequence, Probe& probe, MonotonicTime now)
{
    const auto waited = now - probe.sentAt;
    if (waited >= m_settings.probeTimeout)
        return false;
    const auto& delays = m_settings.pingRetryDelays;
    if (probe.retries < delays.size() && waited >= delays[probe.retries]) {
        ++probe.retries;
        ++m_counters.pingsRetried;
        // The connection may be dead without having been closed, so the last retry uses a new one.
        const bool last = probe.retries == delays.size();
        if (last && m_hooks.reconnect)
            m_hooks.reconnect(probe.address);
        sendPing(sequence, probe.host, probe.address, last);
    }
    if (probe.raisesSuspicion && !probe.indirectRequested && waited >= m_settings.indirectProbeDelay) {
        probe.indirectRequested = true;
        requestIndirectProbes(sequence, probe);
    }
    return true;
}

void Membership::Impl::requestIndirectProbes(std::uint64_t sequence, const Probe& probe)
{
    auto relays = liveHosts(m_settings.dataCentre);
    relays.erase(std::remove(relays.begin(), relays.end(), probe.host), relays.end());
    shuffleHosts(relays, m_hooks.random);
    const auto wanted = static_cast<std::size_t>(m_settings.indirectProbeCount);
    for (const auto& dataCentre : remoteDataCentres()) {
        if (relays.size() >= wanted)
            break;
        auto remote = liveHosts(dataCentre);
        shuffleHosts(remote, m_hooks.random);
        relays.insert(relays.end(), remote.begin(), remote.end());
    }
    relays.resize(std::min(relays.size(), wanted));
    for (const auto& relay : relays) {
        auto frame = makeFrame(FrameKind::PingRequest);
        frame.sequence = sequence;
        frame.target = probe.host;
        frame.subject = probe.address;
        send(m_members.find(relay)->record.address, frame);
    }
}

void Membership::Impl::suspect(const HostId& host, MonotonicTime now)
{
    const auto* entry = m_members.find(host);
    if (!entry || !entry->record.live())
        return;
    auto record = entry->record;
    if (record.state == MemberState::Alive)
        ++m_counters.suspicions;
    record.state = MemberState::Suspect;
    record.accuser = m_settings.host;
    applyRecord(record, now);
}

void Membership::Impl::expireSuspicions(MonotonicTime now)
{
    for (const auto& host : m_members.expiredSuspicions(now))
        declareDead(m_members.find(host)->record, now);
}

void Membership::Impl::probeLinks(MonotonicTime now)
{
    if (now < m_nextLinkProbe)
        return;
    m_nextLinkProbe = now + m_settings.linkProbeInterval;
    auto localHosts = liveHosts(m_settings.dataCentre);
    localHosts.push_back(m_settings.host);
    for (const auto& dataCentre : remoteDataCentres()) {
        const auto chosen
            = selectLinkHosts(localHosts, m_settings.dataCentre, dataCentre, m_settings.linksPerDataCentre);
        if (std::find(chosen.begin(), chosen.end(), m_settings.host) != chosen.end())
            probeLink(dataCentre, now);
    }
}

// Half of the probes go to the hosts that maintain the link at the remote end, the others to any host there,
// so that an outdated view of the remote data centre cannot break the link permanently.
void Membership::Impl::probeLink(const DataCentre& dataCentre, MonotonicTime now)
{
    auto hosts = liveHosts(dataCentre);
    if (m_hooks.random() % 2 == 0)
        hosts = selectLinkHosts(hosts, dataCentre, m_settings.dataCentre, m_settings.linksPerDataCentre);
    const auto host = hosts[uniformBelow(m_hooks.random, hosts.size())];
    startProbe(host, m_members.find(host)->record.address, false, now);
}

// Probes a seed host or a dead host. In a large data centre only about eight hosts do so per interval, which
// bounds the traffic.
void Membership::Impl::rejoin(MonotonicTime now)
{
    if (now < m_nextRejoin)
        return;
    m_nextRejoin = now + m_settings.rejoinInterval;
    const auto localHostCount = liveHosts(m_settings.dataCentre).size() + 1;
    constexpr std::size_t rejoiningHosts = 8;
    if (localHostCount > rejoiningHosts && uniformBelow(m_hooks.random, localHostCount) >= rejoiningHosts)
        return;
    std::vector<SeedHost> candidates;
    for (const auto& seed : m_seeds) {
        const auto* entry = m_members.find(seed.host);
        if (seed.host != m_settings.host && seed.address != m_settings.address
            && !(entry && entry->record.live()))
            candidates.push_back(seed);
    }
    for (const auto& [host, entry] : m_members.entries()) {
        if (entry.record.state == MemberState::Dead && entry.record.address != m_settings.address)
            candidates.push_back({ host, entry.record.address, entry.record.dataCentre });
    }
    if (candidates.empty())
        return;
    const auto& seed = candidates[uniformBelow(m_hooks.random, candidates.size())];
    startProbe(seed.host, seed.address, false, now);
}

void Membership::Impl::removeExpiredMembers(MonotonicTime now)
{
    for (const auto& host : m_members.removeExpired(now)) {
        m_items.remove(host);
        m_gossip.drop({ host, {} });
        updateHashes(host);
    }
}

} // namespace almondscale
