#include "StandIns/PrefixCache.h"

namespace almondscale::standin {

std::int64_t PrefixCache::match(const std::vector<std::uint64_t>& blocks) const
{
    std::int64_t count = 0;
    for (const std::uint64_t block : blocks) {
        if (m_entries.count(block) == 0)
            return count;
        ++count;
    }
    return count;
}

void PrefixCache::pinEntry(Entry& entry)
{
    if (entry.pins++ > 0)
        return;
    m_unpinned.erase(entry.position);
    ++m_pinned;
}

void PrefixCache::pin(const std::vector<std::uint64_t>& blocks, std::int64_t count)
{
    for (std::int64_t i = 0; i < count; ++i)
        pinEntry(m_entries.at(blocks[i]));
}

void PrefixCache::unpin(const std::vector<std::uint64_t>& blocks, std::int64_t count)
{
    // The end of a prompt goes first, so that a shared beginning stays longest.
    for (std::int64_t i = count - 1; i >= 0; --i) {
        Entry& entry = m_entries.at(blocks[i]);
        if (--entry.pins > 0)
            continue;
        --m_pinned;
        entry.position = m_unpinned.insert(m_unpinned.end(), blocks[i]);
    }
}

std::int64_t PrefixCache::insert(const std::vector<std::uint64_t>& blocks, std::int64_t first,
    std::int64_t count, const std::string& prefix)
{
    std::int64_t added = 0;
    for (std::int64_t i = first; i < count; ++i) {
        const auto [place, absent] = m_entries.try_emplace(blocks[i]);
        if (!absent) {
            pinEntry(place->second);
            continue;
        }
        place->second.prefix = prefix;
        place->second.pins = 1;
        ++m_pinned;
        ++m_blocksOfPrefix[prefix];
        ++added;
    }
    return added;
}

std::int64_t PrefixCache::evict(std::int64_t count, std::vector<std::string>& evictedPrefixes)
{
    std::int64_t evicted = 0;
    while (evicted < count && !m_unpinned.empty()) {
        const auto entry = m_entries.find(m_unpinned.front());
        m_unpinned.pop_front();
        const auto blocks = m_blocksOfPrefix.find(entry->second.prefix);
        if (--blocks->second == 0) {
            evictedPrefixes.push_back(blocks->first);
            m_blocksOfPrefix.erase(blocks);
        }
        m_entries.erase(entry);
        ++evicted;
    }
    return evicted;
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_blocksOfPrefix.clear();
    m_unpinned.clear();
    m_pinned = 0;
}

} // namespace almondscale::standin
