#include "Membership/NewsQueue.h"

#include <algorithm>
#include <vector>

namespace almondscale {

void NewsQueue::add(const NewsKey& key) { m_carried[key] = 0; }

void NewsQueue::drop(const NewsKey& key) { m_carried.erase(key); }

void NewsQueue::offer(const std::function<std::size_t(const NewsKey&)>& limit,
    const std::function<bool(const NewsKey&)>& take, const std::function<bool()>& full)
{
    std::vector<std::pair<std::size_t, NewsKey>> order;
    order.reserve(m_carried.size());
    for (const auto& [key, carried] : m_carried)
        order.emplace_back(carried, key);
    std::sort(order.begin(), order.end());
    for (const auto& [carried, key] : order) {
        if (full())
            return;
        if (!take(key))
            continue;
        if (carried + 1 >= limit(key))
            m_carried.erase(key);
        else
            m_carried[key] = carried + 1;
    }
}

} // namespace almondscale
