#include "Membership/FrameCodec.h"
#include "Membership/MembershipImpl.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Tombstones that this host keeps before it raises its item floor above them.
    constexpr std::size_t maxTombstones = 32;

    GossipPriority priorityOf(ItemScope scope)
    {
        return scope == ItemScope::Everywhere ? GossipPriority::Urgent : GossipPriority::Routine;
    }

} // namespace

Membership::Impl::Impl(const MembershipSettings& settings, MembershipHooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_incarnation(settings.incarnation)
    , m_members(settings)
    , m_items(settings)
    , m_requests([this](const Address& to, const Frame& request) {
        auto frame = request;
        frame.sender = ownRecord();
        send(to, frame);
    })
    , m_budget(static_cast<long long>(settings.burstBytes))
    , m_lastTick(m_hooks.clock())
    , m_budgetAt(m_lastTick)
    , m_nextProbe(m_lastTick)
    , m_nextLinkProbe(m_lastTick)
    , m_nextRejoin(m_lastTick)
    , m_nextPush(m_lastTick)
    , m_nextDigest(m_lastTick)
{
    announceSelf();
}

void Membership::Impl::setSeeds(std::vector<SeedHost> seeds)
{
    if (seeds.size() > m_settings.maxMembers)
        seeds.resize(m_settings.maxMembers);
    m_seeds = std::move(seeds);
}

MemberRecord Membership::Impl::ownRecord() const
{
    MemberRecord record;
    record.host = m_settings.host;
    record.address = m_settings.address;
    record.dataCentre = m_settings.dataCentre;
    record.incarnation = m_incarnation;
    record.refutation = m_refutation;
    record.state = m_leaving ? MemberState::Left : MemberState::Alive;
    record.itemFloor = m_itemFloor;
    record.rules = m_rules;
    return record;
}

void Membership::Impl::announceSelf()
{
    // Each frame carries the record of its sender.
    m_urgentPending = true;
    updateHashes(m_settings.host);
}

void Membership::Impl::applyRecord(const MemberRecord& record, MonotonicTime now)
{
    if (record.host == m_settings.host) {
        applyOwnRecord(record);
        return;
    }
    const auto* former = m_members.find(record.host);
    const auto formerFloor = former ? former->record.itemFloor : 0;
    const auto resolved = resolveAddressConflict(record, now);
    const auto change = m_members.apply(resolved, now);
    if (change == RecordChange::Rejected) {
        ++m_counters.entriesRejected;
        return;
    }
    const auto& entry = *m_members.find(record.host);
    m_items.discardStale(record.host, entry.record.incarnation, entry.record.itemFloor);
    if (change == RecordChange::Replaced || entry.record.itemFloor != formerFloor)
        updateHashes(record.host);
    if (change == RecordChange::Replaced || change == RecordChange::Confirmed)
        m_gossip.add({ record.host, {} });
    if (change == RecordChange::Replaced) {
        m_urgentPending = true;
        reportMember(entry.record);
    }
}

// Two live hosts cannot share an address: the one with the lower incarnation is considered dead.
MemberRecord Membership::Impl::resolveAddressConflict(const MemberRecord& record, MonotonicTime now)
{
    if (!record.live())
        return record;
    const auto* known = m_members.find(record.host);
    if (known && known->record.live() && known->record.address == record.address)
        return record;
    auto resolved = record;
    if (record.address == m_settings.address) {
        if (record.incarnation < m_incarnation)
            resolved.state = MemberState::Dead;
        return resolved;
    }
    const auto* other = m_members.liveAtAddress(record.address, record.host);
    if (!other)
        return resolved;
    if (other->record.incarnation < record.incarnation)
        declareDead(other->record, now);
    else
        resolved.state = MemberState::Dead;
    return resolved;
}

void Membership::Impl::declareDead(const MemberRecord& record, MonotonicTime now)
{
    auto dead = record;
    dead.state = MemberState::Dead;
    ++m_counters.deaths;
    applyRecord(dead, now);
}

// Handles a peer's record of this host: refutes a suspicion or death, or moves past a higher incarnation.
void Membership::Impl::applyOwnRecord(const MemberRecord& record)
{
    if (record.incarnation < m_incarnation)
        return;
    if (m_incarnation < record.incarnation) {
        // An earlier process of this host had a later clock. Its items are discarded; those of this process
        // are republished under the new incarnation.
        m_incarnation = Incarnation(record.incarnation.count() + 1);
        m_refutation = 0;
        const auto* own = m_items.findHost(m_settings.host);
        const auto items = own ? own->items : std::map<std::string, SharedItem>();
        for (auto item : items) {
            item.second.incarnation = m_incarnation;
            m_items.apply(item.second);
            m_gossip.add({ m_settings.host, item.first });
        }
        announceSelf();
        return;
    }
    if (record.state == MemberState::Alive || m_leaving || record.refutation < m_refutation)
        return;
    m_refutation = record.refutation + 1;
    ++m_counters.refutations;
    announceSelf();
}

void Membership::Impl::applyItem(const SharedItem& item)
{
    if (item.host == m_settings.host)
        return;
    // Items of hosts without a record would bypass the limit on the number of hosts.
    const auto* entry = m_members.find(item.host);
    if (!entry)
        return;
    const auto change = m_items.apply(item);
    if (change == ItemChange::Rejected)
        ++m_counters.entriesRejected;
    if (change != ItemChange::Replaced)
        return;
    updateHashes(item.host);
    m_gossip.add({ item.host, item.key }, priorityOf(item.scope));
    m_urgentPending = m_urgentPending || item.scope == ItemScope::Everywhere;
    if (m_hooks.itemChanged)
        m_hooks.itemChanged(item);
}

std::error_code Membership::Impl::publish(const std::string& key, const std::string& value, ItemScope scope)
{
    if (key.empty() || value.empty())
        return ErrorKind::BadRequest;
    if (key.size() > maxItemKeyBytes || value.size() > maxItemValueBytes)
        return ErrorKind::LimitExceeded;
    if (scope == ItemScope::Everywhere)
        return publishItem(key, value, scope);
    if (m_pendingLocalItems.count(key) == 0 && m_pendingLocalItems.size() >= m_settings.maxItemsPerHost)
        return ErrorKind::LimitExceeded;
    m_pendingLocalItems[key] = value;
    publishPendingLocalItems(m_hooks.clock());
    return {};
}

// Publishes the pending local items if the interval has passed. The interval grows with the size of the data
// centre, so that the traffic at each host does not; meanwhile only the newest value of each key is kept.
void Membership::Impl::publishPendingLocalItems(MonotonicTime now)
{
    if (m_pendingLocalItems.empty() || now < m_nextLocalPublish)
        return;
    const auto hosts = static_cast<long>(liveHosts(m_settings.dataCentre).size() + 1);
    m_nextLocalPublish
        = now + std::max(m_settings.localItemInterval, m_settings.localItemIntervalPerHost * hosts);
    auto pending = std::move(m_pendingLocalItems);
    m_pendingLocalItems.clear();
    for (const auto& [key, value] : pending) {
        if (publishItem(key, value, ItemScope::DataCentre))
            ++m_counters.entriesRejected;
    }
}

std::error_code Membership::Impl::publishItem(
    const std::string& key, const std::string& value, ItemScope scope)
{
    const auto* former = m_items.find(m_settings.host, key);
    if (former && former->value == value && former->scope == scope)
        return {};
    SharedItem item { m_settings.host, m_incarnation, key, m_itemVersion + 1, scope, value };
    if (m_items.apply(item) != ItemChange::Replaced)
        return ErrorKind::LimitExceeded;
    ++m_itemVersion;
    updateHashes(m_settings.host);
    m_gossip.add({ m_settings.host, key }, priorityOf(scope));
    m_urgentPending = m_urgentPending || scope == ItemScope::Everywhere;
    return {};
}

void Membership::Impl::retract(const std::string& key)
{
    m_pendingLocalItems.erase(key);
    const auto* former = m_items.find(m_settings.host, key);
    if (!former || former->value.empty())
        return;
    auto item = *former;
    item.value.clear();
    item.version = ++m_itemVersion;
    m_items.apply(item);
    updateHashes(m_settings.host);
    m_gossip.add({ m_settings.host, key });
    m_urgentPending = true;
    if (ownTombstones() > maxTombstones)
        compactOwnItems();
}

std::size_t Membership::Impl::ownTombstones() const
{
    const auto* own = m_items.findHost(m_settings.host);
    if (!own)
        return 0;
    return static_cast<std::size_t>(std::count_if(
        own->items.begin(), own->items.end(), [](const auto& item) { return item.second.value.empty(); }));
}

// Raises the item floor above all tombstones and republishes the remaining items with new versions, so that
// peers can discard the tombstones without ever accepting an old version as a new item.
void Membership::Impl::compactOwnItems()
{
    m_itemFloor = m_itemVersion;
    const auto items = m_items.findHost(m_settings.host)->items;
    m_items.discardStale(m_settings.host, m_incarnation, m_itemFloor);
    for (auto [key, item] : items) {
        m_gossip.drop({ m_settings.host, key });
        if (item.value.empty())
            continue;
        item.version = ++m_itemVersion;
        m_items.apply(item);
        m_gossip.add({ m_settings.host, key });
    }
    announceSelf();
}

std::vector<SharedItem> Membership::Impl::items(const std::string& keyPrefix) const
{
    std::vector<SharedItem> found;
    for (const auto& [host, held] : m_items.all()) {
        const auto known = member(host);
        if (!known || !known->live())
            continue;
        for (const auto& [key, item] : held.items) {
            if (!item.value.empty() && key.compare(0, keyPrefix.size(), keyPrefix) == 0)
                found.push_back(item);
        }
    }
    return found;
}

void Membership::Impl::setRules(RulesVersion version)
{
    if (version <= m_rules)
        return;
    m_rules = version;
    announceSelf();
}

void Membership::Impl::leave()
{
    if (m_leaving)
        return;
    m_leaving = true;
    announceSelf();
}

Member Membership::Impl::memberOf(const MemberRecord& record) const
{
    Member member { record.host, record.address, record.dataCentre, record.incarnation, record.state,
        record.rules };
    if (record.live() && !reachable(record.dataCentre))
        member.state = MemberState::Unreachable;
    return member;
}

std::vector<Member> Membership::Impl::members() const
{
    std::vector<Member> all { memberOf(ownRecord()) };
    for (const auto& [host, entry] : m_members.entries())
        all.push_back(memberOf(entry.record));
    return all;
}

std::optional<Member> Membership::Impl::member(const HostId& host) const
{
    if (host == m_settings.host)
        return memberOf(ownRecord());
    const auto* entry = m_members.find(host);
    if (!entry)
        return std::nullopt;
    return memberOf(entry->record);
}

bool Membership::Impl::reachable(const DataCentre& dataCentre) const
{
    if (dataCentre == m_settings.dataCentre)
        return true;
    const auto found = m_reachable.find(dataCentre);
    return found == m_reachable.end() || found->second;
}

// Reports all live hosts of a data centre when contact with it is lost or restored.
void Membership::Impl::reportReachability(MonotonicTime now)
{
    for (const auto& dataCentre : remoteDataCentres()) {
        const auto contact = m_contacts.emplace(dataCentre, now).first->second;
        const bool inContact = now - contact < m_settings.contactTimeout;
        const auto reported = m_reachable.emplace(dataCentre, true).first;
        if (reported->second == inContact)
            continue;
        reported->second = inContact;
        for (const auto& [host, entry] : m_members.entries()) {
            if (entry.record.dataCentre == dataCentre && entry.record.live())
                reportMember(entry.record);
        }
    }
}

void Membership::Impl::reportMember(const MemberRecord& record) const
{
    if (m_hooks.memberChanged)
        m_hooks.memberChanged(memberOf(record));
}

std::vector<HostId> Membership::Impl::liveHosts(const DataCentre& dataCentre) const
{
    std::vector<HostId> hosts;
    for (const auto& [host, entry] : m_members.entries()) {
        if (entry.record.dataCentre == dataCentre && entry.record.live())
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<DataCentre> Membership::Impl::remoteDataCentres() const
{
    std::set<DataCentre> found;
    for (const auto& [host, entry] : m_members.entries()) {
        if (entry.record.live() && entry.record.dataCentre != m_settings.dataCentre)
            found.insert(entry.record.dataCentre);
    }
    return { found.begin(), found.end() };
}

std::size_t Membership::Impl::transmitLimit(const GossipKey& key) const
{
    const auto* item = key.item.empty() ? nullptr : m_items.find(key.host, key.item);
    if (item && item->scope == ItemScope::DataCentre)
        return m_settings.localItemTransmits;
    std::size_t doublings = 1;
    for (std::size_t hosts = m_members.entries().size() + 1; hosts > 1; hosts /= 2)
        ++doublings;
    return doublings * m_settings.transmitsPerDoubling;
}

void Membership::Impl::refillBudget(MonotonicTime now)
{
    const auto elapsed = now - m_budgetAt;
    const auto gained = static_cast<long long>(
        std::chrono::duration<double>(elapsed).count() * static_cast<double>(m_settings.bytesPerSecond));
    if (gained <= 0)
        return;
    m_budget = std::min(m_budget + gained, static_cast<long long>(m_settings.burstBytes));
    m_budgetAt = now;
}

// Reserves half of the burst for urgent gossip, so that routine traffic cannot delay it.
bool Membership::Impl::routineAllowed() const
{
    return m_budget > static_cast<long long>(m_settings.burstBytes / 2);
}

bool Membership::Impl::spendBudget(std::size_t bytes)
{
    if (m_budget <= 0)
        return false;
    m_budget -= static_cast<long long>(bytes);
    return true;
}

} // namespace almondscale
