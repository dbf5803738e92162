#include "Membership/GossipQueue.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace almondscale {

void GossipQueue::add(const GossipKey& key, GossipPriority priority) { m_entries[key] = { priority, 0 }; }

void GossipQueue::drop(const GossipKey& key) { m_entries.erase(key); }

void GossipQueue::offer(const std::function<std::size_t(const GossipKey&)>& limit,
    const std::function<bool(const GossipKey&)>& take, const std::function<bool()>& full)
{
    std::vector<std::tuple<GossipPriority, std::size_t, GossipKey>> order;
    order.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        order.emplace_back(entry.priority, entry.transmits, key);
    std::sort(order.begin(), order.end());
    for (const auto& [priority, transmits, key] : order) {
        if (full())
            return;
        if (!take(key))
            continue;
        if (transmits + 1 >= limit(key))
            m_entries.erase(key);
        else
            m_entries[key].transmits = transmits + 1;
    }
}

} // namespace almondscale
