#pragma once

#include "Core/MonotonicTime.h"
#include "Membership/MemberRecord.h"
#include "Membership/MembershipSettings.h"

#include <map>
#include <set>
#include <vector>

namespace almondscale {

// One host other than this one.
struct MemberEntry {
    MemberRecord record;
    // When a suspect is declared dead; set for suspects only.
    MonotonicTime suspicionEndsAt {};
    // When the entry of a dead or left host goes.
    MonotonicTime forgetAt {};
    std::set<HostId> accusers;
};

// What applying a record changed.
enum class RecordChange {
    Nothing,
    // Another host accuses the same suspect.
    Confirmed,
    Replaced,
    Refused,
};

// The records of all other hosts; the newest of each wins.
class MemberTable {
public:
    explicit MemberTable(const MembershipSettings&);

    RecordChange apply(const MemberRecord&, MonotonicTime now);
    const MemberEntry* find(const HostId&) const;
    const std::map<HostId, MemberEntry>& entries() const { return m_entries; }

    // The live host that another record puts on the same address.
    const MemberEntry* liveOnAddress(const Address&, const HostId& except) const;
    std::vector<HostId> suspicionsEnded(MonotonicTime now) const;
    void extendSuspicions(MonotonicTime now);
    // Drops entries whose time is over and returns their hosts.
    std::vector<HostId> forget(MonotonicTime now);

private:
    RecordChange confirm(MemberEntry&, const MemberRecord&) const;
    void replace(MemberEntry&, const MemberRecord&, MonotonicTime now) const;

    MembershipSettings m_settings;
    std::map<HostId, MemberEntry> m_entries;
};

} // namespace almondscale
