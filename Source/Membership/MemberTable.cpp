#include "Membership/MemberTable.h"

#include <algorithm>

namespace almondscale {

MemberTable::MemberTable(const MembershipSettings& settings)
    : m_settings(settings)
{
}

RecordChange MemberTable::apply(const MemberRecord& record, MonotonicTime now)
{
    const auto found = m_entries.find(record.host);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_settings.maxMembers)
            return RecordChange::Rejected;
        replace(m_entries[record.host], record, now);
        return RecordChange::Replaced;
    }
    auto& entry = found->second;
    if (record.newerThan(entry.record)) {
        replace(entry, record, now);
        return RecordChange::Replaced;
    }
    if (record.incarnation != entry.record.incarnation)
        return RecordChange::Unchanged;
    entry.record.rules = std::max(entry.record.rules, record.rules);
    entry.record.itemFloor = std::max(entry.record.itemFloor, record.itemFloor);
    return confirm(entry, record);
}

RecordChange MemberTable::confirm(MemberEntry& entry, const MemberRecord& record) const
{
    const bool same = record.refutation == entry.record.refutation && record.state == entry.record.state;
    if (!same || record.state != MemberState::Suspect || record.accuser.empty())
        return RecordChange::Unchanged;
    if (entry.accusers.size() >= m_settings.accusersToConfirm)
        return RecordChange::Unchanged;
    if (!entry.accusers.insert(record.accuser).second)
        return RecordChange::Unchanged;
    if (entry.accusers.size() == m_settings.accusersToConfirm)
        entry.suspicionEndsAt -= m_settings.suspicionTimeout - m_settings.confirmedSuspicionTimeout;
    entry.record.accuser = record.accuser;
    return RecordChange::Confirmed;
}

void MemberTable::replace(MemberEntry& entry, const MemberRecord& record, MonotonicTime now) const
{
    const bool restarted = record.incarnation != entry.record.incarnation;
    const auto floor = restarted ? record.itemFloor : std::max(record.itemFloor, entry.record.itemFloor);
    const auto rules = restarted ? record.rules : std::max(record.rules, entry.record.rules);
    entry.record = record;
    entry.record.itemFloor = floor;
    entry.record.rules = rules;
    entry.accusers.clear();
    if (record.state == MemberState::Suspect) {
        entry.suspicionEndsAt = now + m_settings.suspicionTimeout;
        entry.accusers.insert(record.accuser);
    }
    if (!record.live())
        entry.removeAt = now + m_settings.deadMemberRetention;
}

const MemberEntry* MemberTable::find(const HostId& host) const
{
    const auto found = m_entries.find(host);
    return found == m_entries.end() ? nullptr : &found->second;
}

const MemberEntry* MemberTable::liveAtAddress(const Address& address, const HostId& except) const
{
    for (const auto& [host, entry] : m_entries) {
        if (host != except && entry.record.live() && entry.record.address == address)
            return &entry;
    }
    return nullptr;
}

std::vector<HostId> MemberTable::expiredSuspicions(MonotonicTime now) const
{
    std::vector<HostId> hosts;
    for (const auto& [host, entry] : m_entries) {
        const bool own = entry.record.dataCentre == m_settings.dataCentre;
        if (own && entry.record.state == MemberState::Suspect && now >= entry.suspicionEndsAt)
            hosts.push_back(host);
    }
    return hosts;
}

void MemberTable::extendSuspicions(MonotonicTime now)
{
    for (auto& [host, entry] : m_entries) {
        if (entry.record.state == MemberState::Suspect)
            entry.suspicionEndsAt = std::max(entry.suspicionEndsAt, now + m_settings.suspicionTimeout);
    }
}

std::vector<HostId> MemberTable::removeExpired(MonotonicTime now)
{
    std::vector<HostId> removed;
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        const bool expired = !at->second.record.live() && now >= at->second.removeAt;
        if (expired)
            removed.push_back(at->first);
        at = expired ? m_entries.erase(at) : std::next(at);
    }
    return removed;
}

} // namespace almondscale
