#pragma once

#include "Membership/MembershipSettings.h"
#include "Membership/SharedItem.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondscale {

// The items that one host shares.
struct HostItems {
    Incarnation incarnation;
    // Items up to this version are gone.
    std::uint64_t floor = 0;
    std::size_t bytes = 0;
    std::map<std::string, SharedItem> items;
};

enum class ItemChange {
    Nothing,
    Replaced,
    // The host shares more than the bound.
    Refused,
};

// The newest version of each host's items, within bounds per host.
class ItemTable {
public:
    explicit ItemTable(const MembershipSettings&);

    ItemChange apply(const SharedItem&);
    // Drops the host's items of older incarnations and those up to the floor.
    void settle(const HostId&, Incarnation, std::uint64_t floor);
    void remove(const HostId&);
    const SharedItem* find(const HostId&, const std::string& key) const;
    const HostItems* of(const HostId&) const;
    const std::map<HostId, HostItems>& all() const { return m_hosts; }

    // A hash over the versions of the host's items; items that stay in a data centre may be left out.
    std::uint32_t hash(const HostId&, bool everywhereOnly) const;

private:
    bool fits(const HostItems&, const SharedItem& item, const SharedItem* former) const;

    MembershipSettings m_settings;
    std::map<HostId, HostItems> m_hosts;
};

} // namespace almondscale
