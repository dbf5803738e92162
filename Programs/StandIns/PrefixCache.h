#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondscale::standin {

// Blocks of KV cache that hold prompt prefixes, evicted in the order of last use.
// A pinned block belongs to a running attempt and stays.
class PrefixCache {
public:
    // The number of leading blocks that are held.
    std::int64_t match(const std::vector<std::uint64_t>& blocks) const;

    void pin(const std::vector<std::uint64_t>& blocks, std::int64_t count);
    void unpin(const std::vector<std::uint64_t>& blocks, std::int64_t count);

    // Adds the blocks that are absent and pins all up to the count; returns how
    // many were added.
    std::int64_t insert(const std::vector<std::uint64_t>& blocks, std::int64_t first, std::int64_t count,
        const std::string& prefix);

    // Evicts unpinned blocks; returns how many were evicted. A prefix whose last
    // block went is added to the list.
    std::int64_t evict(std::int64_t count, std::vector<std::string>& evictedPrefixes);

    bool holdsPrefix(const std::string& prefix) const { return m_blocksOfPrefix.count(prefix) != 0; }
    std::int64_t size() const { return static_cast<std::int64_t>(m_entries.size()); }
    std::int64_t pinned() const { return m_pinned; }
    void clear();

private:
    struct Entry {
        std::string prefix;
        std::int64_t pins = 0;
        // Valid while there are no pins.
        std::list<std::uint64_t>::iterator position;
    };

    void pinEntry(Entry&);

    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::unordered_map<std::string, std::int64_t> m_blocksOfPrefix;
    // Unpinned blocks, the least recently used first.
    std::list<std::uint64_t> m_unpinned;
    std::int64_t m_pinned = 0;
};

} // namespace almondscale::standin
