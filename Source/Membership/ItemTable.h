#pragma once

#include "Membership/MembershipSettings.h"
#include "Membership/SharedItem.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondscale {

// The items published by one host.
struct HostItems {
    Incarnation incarnation;
    // Items with this version or a lower one have been discarded.
    std::uint64_t floor = 0;
    // Total size of keys and values, in bytes.
    std::size_t bytes = 0;
    std::map<std::string, SharedItem> items;
};

enum class ItemChange {
    Unchanged,
    Replaced,
    // The item would exceed the host's limits.
    Rejected,
};

// The newest version of each host's items, with limits on their number and size per host.
class ItemTable {
public:
    explicit ItemTable(const MembershipSettings&);

    ItemChange apply(const SharedItem&);
    // Discards the host's items of older incarnations and those up to the floor.
    void discardStale(const HostId&, Incarnation, std::uint64_t floor);
    void remove(const HostId&);
    const SharedItem* find(const HostId&, const std::string& key) const;
    // Returns nullptr for a host without items.
    const HostItems* findHost(const HostId&) const;
    const std::map<HostId, HostItems>& all() const { return m_hosts; }

    // Hash over the versions of the host's items, optionally only of those with scope Everywhere.
    std::uint32_t hash(const HostId&, bool everywhereOnly) const;

private:
    bool fits(const HostItems&, const SharedItem& item, const SharedItem* former) const;

    MembershipSettings m_settings;
    std::map<HostId, HostItems> m_hosts;
};

} // namespace almondscale
