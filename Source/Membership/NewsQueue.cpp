#include "Membership/NewsQueue.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace almondscale {

void NewsQueue::add(const NewsKey& key, NewsUrgency urgency) { m_entries[key] = { urgency, 0 }; }

void NewsQueue::drop(const NewsKey& key) { m_entries.erase(key); }

void NewsQueue::offer(const std::function<std::size_t(const NewsKey&)>& limit,
    const std::function<bool(const NewsKey&)>& take, const std::function<bool()>& full)
{
    std::vector<std::tuple<NewsUrgency, std::size_t, NewsKey>> order;
    order.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        order.emplace_back(entry.urgency, entry.carried, key);
    std::sort(order.begin(), order.end());
    for (const auto& [urgency, carried, key] : order) {
        if (full())
            return;
        if (!take(key))
            continue;
        if (carried + 1 >= limit(key))
            m_entries.erase(key);
        else
            m_entries[key].carried = carried + 1;
    }
}

} // namespace almondscale
