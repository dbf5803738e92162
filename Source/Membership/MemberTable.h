#pragma once

#include "Core/MonotonicTime.h"
#include "Membership/MemberRecord.h"
#include "Membership/MembershipSettings.h"

#include <map>
#include <set>
#include <vector>

namespace almondscale {

// The record of another host and its timers.
struct MemberEntry {
    MemberRecord record;
    // When the suspect is declared dead; set for suspects only.
    MonotonicTime suspicionEndsAt {};
    // When the entry of a host that is dead or has left is removed.
    MonotonicTime removeAt {};
    // The hosts that suspect this host.
    std::set<HostId> accusers;
};

// The effect of applying a record.
enum class RecordChange {
    Unchanged,
    // A further host suspects the same host.
    Confirmed,
    Replaced,
    // The table is full.
    Rejected,
};

// The newest record of each other host.
class MemberTable {
public:
    explicit MemberTable(const MembershipSettings&);

    RecordChange apply(const MemberRecord&, MonotonicTime now);
    const MemberEntry* find(const HostId&) const;
    const std::map<HostId, MemberEntry>& entries() const { return m_entries; }

    // The live host other than `except` whose record has this address, or nullptr.
    const MemberEntry* liveAtAddress(const Address&, const HostId& except) const;
    // The suspects of this data centre whose time to refute has passed.
    std::vector<HostId> expiredSuspicions(MonotonicTime now) const;
    // Gives every suspect at least the full suspicion timeout from now.
    void extendSuspicions(MonotonicTime now);
    // Removes the entries whose retention time has passed and returns their hosts.
    std::vector<HostId> removeExpired(MonotonicTime now);

private:
    RecordChange confirm(MemberEntry&, const MemberRecord&) const;
    void replace(MemberEntry&, const MemberRecord&, MonotonicTime now) const;

    MembershipSettings m_settings;
    std::map<HostId, MemberEntry> m_entries;
};

} // namespace almondscale
