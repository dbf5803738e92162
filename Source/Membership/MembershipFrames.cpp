#include "Membership/FrameCodec.h"
#include "Membership/LinkSelection.h"
#include "Membership/MembershipImpl.h"

#include <xxhash.h>

#include <algorithm>

namespace almondscale {

namespace {

    constexpr std::size_t maxRelayedPings = 256;
    constexpr std::size_t frameBaseBytes = 160;

    std::uint32_t hashDataCentre(const DataCentre& dataCentre)
    {
        return XXH32(dataCentre.text().data(), dataCentre.text().size(), 0);
    }

} // namespace

Frame Membership::Impl::makeFrame(FrameKind kind) const
{
    Frame frame;
    frame.kind = kind;
    frame.sender = ownRecord();
    return frame;
}

void Membership::Impl::request(const HostId& peer, const std::string& topic, PeerRequests::Done done)
{
    const auto* entry = m_members.find(peer);
    if (!entry) {
        done(ErrorKind::PeerUnreachable);
        return;
    }
    m_requests.start(peer, entry->record.address, topic, std::move(done), m_hooks.clock());
}

void Membership::Impl::reply(const PeerRequest& request, const std::string& content)
{
    auto frame = makeFrame(FrameKind::Reply);
    frame.sequence = request.sequence;
    PeerRequests::fillReply(frame, content, request.offset);
    send(request.from, frame);
}

void Membership::Impl::send(const Address& address, const Frame& frame)
{
    const auto bytes = encodeFrame(frame);
    ++m_counters.framesSent;
    m_counters.bytesSent += bytes.size();
    const auto kind = static_cast<std::size_t>(frame.kind);
    ++m_counters.framesSentOfKind.at(kind);
    m_counters.bytesSentOfKind.at(kind) += bytes.size();
    m_hooks.send(address, bytes);
}

void Membership::Impl::onFrame(const std::string& bytes)
{
    ++m_counters.framesReceived;
    const auto decoded = decodeFrame(bytes);
    if (!decoded || decoded.value().sender.host == m_settings.host) {
        ++m_counters.framesRejected;
        return;
    }
    const auto& frame = decoded.value();
    const auto now = m_hooks.clock();
    // Gossip is applied first: a ping may tell this host that it is considered dead, and the ack then refutes
    // it.
    applyGossip(frame, now);
    switch (frame.kind) {
    case FrameKind::Ping:
        onPing(frame, now);
        break;
    case FrameKind::Ack:
        onAck(frame, now);
        break;
    case FrameKind::PingRequest:
        onPingRequest(frame, now);
        break;
    case FrameKind::Push:
        break;
    case FrameKind::Digest:
        onDigest(frame);
        break;
    case FrameKind::State:
        onState(frame);
        break;
    case FrameKind::Request:
        if (m_hooks.requestReceived)
            m_hooks.requestReceived({ frame.sender.address, frame.sequence, frame.topic, frame.offset });
        break;
    case FrameKind::Reply:
        m_requests.onReply(frame, now);
        break;
    }
}

void Membership::Impl::applyGossip(const Frame& frame, MonotonicTime now)
{
    applyRecord(frame.sender, now);
    const auto* sender = m_members.find(frame.sender.host);
    // Suspicions and deaths reported by a host that is itself considered dead are ignored.
    const bool trusted = sender && sender->record.live();
    for (const auto& record : frame.members) {
        const bool accuses = record.state == MemberState::Suspect || record.state == MemberState::Dead;
        if (trusted || !accuses || record.host == m_settings.host)
            applyRecord(record, now);
    }
    for (const auto& item : frame.items)
        applyItem(item);
    mergeContacts(frame, now);
    // Reported for every frame, so that a failed pull of the rules can be retried.
    if (trusted && m_rules < frame.sender.rules && m_hooks.newerRulesSeen)
        m_hooks.newerRulesSeen(memberOf(sender->record));
}

void Membership::Impl::mergeContacts(const Frame& frame, MonotonicTime now)
{
    if (frame.sender.dataCentre != m_settings.dataCentre)
        return;
    for (auto& [dataCentre, contact] : m_contacts) {
        const auto id = hashDataCentre(dataCentre);
        for (const auto& age : frame.contacts) {
            if (age.dataCentre == id)
                contact = std::max(contact, now - std::chrono::milliseconds(age.ageMs));
        }
    }
}

void Membership::Impl::addContacts(Frame& frame, MonotonicTime now) const
{
    for (const auto& [dataCentre, contact] : m_contacts) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - contact);
        if (now - contact < m_settings.contactTimeout)
            frame.contacts.push_back({ hashDataCentre(dataCentre),
                static_cast<std::uint32_t>(std::max<long long>(0, age.count())) });
    }
}

void Membership::Impl::onPing(const Frame& frame, MonotonicTime now)
{
    if (frame.reconnect && m_hooks.reconnect)
        m_hooks.reconnect(frame.sender.address);
    auto ack = makeFrame(FrameKind::Ack);
    ack.sequence = frame.sequence;
    ack.target = m_settings.host;
    const auto* sender = m_members.find(frame.sender.host);
    // Tells the sender that it is suspected or considered dead, so that it can refute.
    if (sender && sender->record.state != MemberState::Alive)
        ack.members.push_back(sender->record);
    if (frame.sender.dataCentre == m_settings.dataCentre)
        addContacts(ack, now);
    addGossip(ack, frame.sender.dataCentre);
    send(frame.sender.address, ack);
    compareViews(frame, now);
}

void Membership::Impl::onAck(const Frame& frame, MonotonicTime now)
{
    const auto relayed = m_relayedPings.find(frame.sequence);
    if (relayed != m_relayedPings.end() && relayed->second.target == frame.target) {
        auto ack = makeFrame(FrameKind::Ack);
        ack.sequence = relayed->second.requesterSequence;
        ack.target = frame.target;
        send(relayed->second.requester, ack);
        m_relayedPings.erase(relayed);
        return;
    }
    const auto probe = m_probes.find(frame.sequence);
    if (probe == m_probes.end())
        return;
    if (frame.sender.dataCentre != m_settings.dataCentre)
        m_contacts[frame.sender.dataCentre] = now;
    // A host that took over the address answers under its own name, which proves nothing about the probed
    // host.
    if (probe->second.host == frame.target || !probe->second.raisesSuspicion)
        m_probes.erase(probe);
}

void Membership::Impl::onPingRequest(const Frame& frame, MonotonicTime now)
{
    if (m_relayedPings.size() >= maxRelayedPings || frame.subject.empty())
        return;
    const auto sequence = ++m_sequence;
    m_relayedPings[sequence]
        = RelayedPing { frame.sender.address, frame.sequence, frame.target, now + m_settings.probeTimeout };
    sendPing(sequence, frame.target, frame.subject, false);
}

void Membership::Impl::addGossip(Frame& frame, const DataCentre& to)
{
    std::size_t bytes = 0;
    // Over budget: the gossip stays queued, and anti-entropy delivers it at the latest.
    if (m_budget <= 0)
        return;
    m_gossip.offer([&](const GossipKey& key) { return transmitLimit(key); },
        [&](const GossipKey& key) { return addGossipEntry(frame, key, to, bytes); },
        [&] { return bytes >= m_settings.gossipBytesPerFrame; });
    spendBudget(bytes);
}

bool Membership::Impl::addGossipEntry(
    Frame& frame, const GossipKey& key, const DataCentre& to, std::size_t& bytes) const
{
    if (key.item.empty()) {
        const auto* entry = m_members.find(key.host);
        if (!entry)
            return false;
        frame.members.push_back(entry->record);
        bytes += encodedBytes(entry->record);
        return true;
    }
    const auto* item = m_items.find(key.host, key.item);
    if (!item)
        return false;
    const bool local = item->scope == ItemScope::DataCentre;
    if (local && (to != m_settings.dataCentre || !routineAllowed()))
        return false;
    frame.items.push_back(*item);
    bytes += encodedBytes(*item);
    return true;
}

// Pushes urgent gossip to a few hosts of this data centre and over the links of this host, so that it reaches
// all hosts in a few hops without waiting for probes.
void Membership::Impl::pushUrgent(MonotonicTime now)
{
    if (!m_urgentPending || now < m_nextPush || !spendBudget(frameBaseBytes))
        return;
    m_urgentPending = false;
    m_nextPush = now + m_settings.pushInterval;
    auto localHosts = liveHosts(m_settings.dataCentre);
    auto targets = localHosts;
    shuffleHosts(targets, m_hooks.random);
    targets.resize(std::min(targets.size(), m_settings.pushFanout));
    localHosts.push_back(m_settings.host);
    for (const auto& dataCentre : remoteDataCentres()) {
        const auto chosen
            = selectLinkHosts(localHosts, m_settings.dataCentre, dataCentre, m_settings.linksPerDataCentre);
        const auto remote = liveHosts(dataCentre);
        if (std::find(chosen.begin(), chosen.end(), m_settings.host) != chosen.end())
            targets.push_back(remote[uniformBelow(m_hooks.random, remote.size())]);
    }
    for (const auto& target : targets) {
        const auto& record = m_members.find(target)->record;
        auto frame = makeFrame(FrameKind::Push);
        addGossip(frame, record.dataCentre);
        send(record.address, frame);
    }
}

} // namespace almondscale
