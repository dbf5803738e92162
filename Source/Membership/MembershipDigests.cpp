#include "Membership/FrameCodec.h"
#include "Membership/MembershipImpl.h"

#include <xxhash.h>

#include <algorithm>

namespace almondscale {

namespace {

    constexpr std::size_t stateBytesPerFrame = 16384;
    constexpr std::size_t maxStateFrames = 8;

    std::uint64_t hashHost(const HostId& host) { return XXH64(host.text().data(), host.text().size(), 0); }

    std::uint64_t viewContribution(std::uint64_t host, std::uint32_t hash)
    {
        return hash == 0 ? 0 : XXH64(&hash, sizeof(hash), host);
    }

    struct RecordHash {
        std::uint64_t incarnation;
        std::uint64_t refutation;
        std::uint64_t floor;
        std::uint64_t items;
    };

} // namespace

// Hash over the compared state of a live host; 0 for hosts that are not live.
std::uint32_t Membership::Impl::hostHash(const HostId& host, bool everywhereOnly) const
{
    const auto* entry = m_members.find(host);
    if (!entry && host != m_settings.host)
        return 0;
    const auto record = entry ? entry->record : ownRecord();
    if (!record.live())
        return 0;
    const RecordHash all { record.incarnation.count(), record.refutation, record.itemFloor,
        m_items.hash(host, everywhereOnly) };
    return XXH32(&all, sizeof(all), 1) | 1U;
}

// Updates the host's hashes and the view hashes. Must be called after every change of the host's record or
// items.
void Membership::Impl::updateHashes(const HostId& host)
{
    const auto id = hashHost(host);
    for (const bool everywhereOnly : { false, true }) {
        auto& hashes = everywhereOnly ? m_everywhereHashes : m_hashes;
        auto& view = everywhereOnly ? m_everywhereView : m_view;
        auto& current = hashes[id];
        const auto hash = hostHash(host, everywhereOnly);
        view ^= viewContribution(id, current) ^ viewContribution(id, hash);
        current = hash;
        if (hash == 0)
            hashes.erase(id);
    }
}

std::vector<HostDigest> Membership::Impl::digests(bool everywhereOnly) const
{
    std::vector<HostDigest> all;
    for (const auto& [id, hash] : everywhereOnly ? m_everywhereHashes : m_hashes)
        all.push_back({ id, hash });
    return all;
}

void Membership::Impl::compareViews(const Frame& ping, MonotonicTime now)
{
    if (now < m_nextDigest)
        return;
    const bool local = ping.sender.dataCentre == m_settings.dataCentre;
    if (ping.everywhereView != m_everywhereView) {
        m_nextDigest = now + m_settings.digestInterval;
        sendDigest(ping.sender, false);
        return;
    }
    // Only items of scope DataCentre can differ.
    if (local && ping.view != m_view && now >= m_nextLocalDigest) {
        m_nextLocalDigest = now + m_settings.localDigestInterval;
        sendDigest(ping.sender, true);
    }
}

void Membership::Impl::sendDigest(const MemberRecord& to, bool partial)
{
    auto frame = makeFrame(FrameKind::Digest);
    frame.partial = partial;
    frame.digests = digests(to.dataCentre != m_settings.dataCentre);
    if (partial)
        retainLocal(frame.digests);
    constexpr std::size_t digestBytes = sizeof(std::uint64_t) + sizeof(std::uint32_t);
    if (!routineAllowed() || !spendBudget(frame.digests.size() * digestBytes))
        return;
    send(to.address, frame);
}

void Membership::Impl::retainLocal(std::vector<HostDigest>& digests) const
{
    std::set<std::uint64_t> local { hashHost(m_settings.host) };
    for (const auto& host : liveHosts(m_settings.dataCentre))
        local.insert(hashHost(host));
    const auto other = [&](const HostDigest& digest) { return local.count(digest.host) == 0; };
    digests.erase(std::remove_if(digests.begin(), digests.end(), other), digests.end());
}

// Replies with the state of all hosts that differ and requests the peer's state of the same hosts.
void Membership::Impl::onDigest(const Frame& frame)
{
    const bool remote = frame.sender.dataCentre != m_settings.dataCentre;
    std::map<std::uint64_t, std::uint32_t> theirs;
    for (const auto& digest : frame.digests)
        theirs[digest.host] = digest.hash;
    std::vector<HostId> differing;
    std::vector<std::uint64_t> wanted;
    const auto compare = [&](const HostId& host) {
        const auto id = hashHost(host);
        const auto found = theirs.find(id);
        const auto hash = found == theirs.end() ? 0 : found->second;
        if (hash != hostHash(host, remote)) {
            differing.push_back(host);
            if (hash != 0)
                wanted.push_back(id);
        }
        if (found != theirs.end())
            theirs.erase(found);
    };
    compare(m_settings.host);
    for (const auto& [host, entry] : m_members.entries()) {
        if (!frame.partial || entry.record.dataCentre == m_settings.dataCentre)
            compare(host);
    }
    // The remaining hosts are unknown here.
    for (const auto& [id, hash] : theirs)
        wanted.push_back(id);
    sendStates(frame.sender, differing, std::move(wanted));
}

void Membership::Impl::onState(const Frame& frame)
{
    const std::set<std::uint64_t> wanted(frame.wanted.begin(), frame.wanted.end());
    std::vector<HostId> hosts;
    // The peer considers a host live that is known here to be dead or to have left.
    for (const auto& record : frame.members) {
        const auto* entry = m_members.find(record.host);
        if (entry && !entry->record.live() && entry->record.newerThan(record))
            hosts.push_back(record.host);
    }
    const auto add = [&](const HostId& host) {
        if (wanted.count(hashHost(host)) != 0)
            hosts.push_back(host);
    };
    add(m_settings.host);
    for (const auto& [host, entry] : m_members.entries())
        add(host);
    sendStates(frame.sender, hosts, {});
}

void Membership::Impl::sendStates(
    const MemberRecord& to, const std::vector<HostId>& hosts, std::vector<std::uint64_t> wanted)
{
    auto order = hosts;
    shuffleHosts(order, m_hooks.random);
    auto next = order.begin();
    for (std::size_t frames = 0; frames < maxStateFrames; ++frames) {
        if (next == order.end() && wanted.empty())
            return;
        auto frame = makeFrame(FrameKind::State);
        frame.wanted = std::move(wanted);
        wanted.clear();
        std::size_t bytes = frame.wanted.size() * sizeof(std::uint64_t);
        for (; next != order.end() && bytes < stateBytesPerFrame; ++next) {
            const auto members = frame.members.size();
            const auto items = frame.items.size();
            addState(frame, *next, to.dataCentre);
            for (auto i = members; i < frame.members.size(); ++i)
                bytes += encodedBytes(frame.members[i]);
            for (auto i = items; i < frame.items.size(); ++i)
                bytes += encodedBytes(frame.items[i]);
        }
        if (!routineAllowed() || !spendBudget(bytes))
            return;
        send(to.address, frame);
    }
}

void Membership::Impl::addState(Frame& frame, const HostId& host, const DataCentre& to) const
{
    const auto* entry = m_members.find(host);
    if (entry)
        frame.members.push_back(entry->record);
    const auto* held = m_items.findHost(host);
    if (!held)
        return;
    for (const auto& [key, item] : held->items) {
        if (item.scope == ItemScope::Everywhere || to == m_settings.dataCentre)
            frame.items.push_back(item);
    }
}

} // namespace almondscale
