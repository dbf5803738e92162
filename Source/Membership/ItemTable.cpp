#include "Membership/ItemTable.h"

#include <xxhash.h>

namespace almondscale {

namespace {

    std::size_t sizeOf(const SharedItem& item) { return item.key.size() + item.value.size(); }

} // namespace

ItemTable::ItemTable(const MembershipSettings& settings)
    : m_settings(settings)
{
}

bool ItemTable::fits(const HostItems& host, const SharedItem& item, const SharedItem* former) const
{
    if (!former && host.items.size() >= m_settings.maxItemsPerHost)
        return false;
    const auto freed = former ? sizeOf(*former) : 0;
    return host.bytes - freed + sizeOf(item) <= m_settings.maxItemBytesPerHost;
}

ItemChange ItemTable::apply(const SharedItem& item)
{
    discardStale(item.host, item.incarnation, 0);
    auto& host = m_hosts[item.host];
    if (item.incarnation < host.incarnation || item.version <= host.floor)
        return ItemChange::Unchanged;
    const auto found = host.items.find(item.key);
    const auto* former = found == host.items.end() ? nullptr : &found->second;
    if (former && former->version >= item.version)
        return ItemChange::Unchanged;
    if (!fits(host, item, former))
        return ItemChange::Rejected;
    host.bytes += sizeOf(item);
    if (former)
        host.bytes -= sizeOf(*former);
    host.items[item.key] = item;
    return ItemChange::Replaced;
}

void ItemTable::discardStale(const HostId& id, Incarnation incarnation, std::uint64_t floor)
{
    auto& host = m_hosts[id];
    if (incarnation < host.incarnation)
        return;
    if (host.incarnation < incarnation) {
        host = HostItems();
        host.incarnation = incarnation;
    }
    if (floor <= host.floor)
        return;
    host.floor = floor;
    for (auto at = host.items.begin(); at != host.items.end();) {
        if (at->second.version > floor) {
            ++at;
            continue;
        }
        host.bytes -= sizeOf(at->second);
        at = host.items.erase(at);
    }
}

void ItemTable::remove(const HostId& host) { m_hosts.erase(host); }

const SharedItem* ItemTable::find(const HostId& host, const std::string& key) const
{
    const auto* items = findHost(host);
    if (!items)
        return nullptr;
    const auto found = items->items.find(key);
    return found == items->items.end() ? nullptr : &found->second;
}

const HostItems* ItemTable::findHost(const HostId& host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

std::uint32_t ItemTable::hash(const HostId& id, bool everywhereOnly) const
{
    const auto* host = findHost(id);
    if (!host)
        return 0;
    std::uint32_t sum = 0;
    for (const auto& [key, item] : host->items) {
        if (!everywhereOnly || item.scope == ItemScope::Everywhere)
            sum ^= XXH32(key.data(), key.size(), static_cast<std::uint32_t>(item.version));
    }
    return sum;
}

} // namespace almondscale
