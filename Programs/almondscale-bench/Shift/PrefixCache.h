#pragma once

#include <list>

namespace almondscale {

// The prompt beginnings that a modelled engine holds, the least recently used evicted first.
class PrefixCache {
public:
    explicit PrefixCache(int capacityTokens);

    // How many of the wanted tokens are held.
    int hit(int prefix, int tokens);
    void store(int prefix, int tokens);
    void clear();

private:
    struct Entry {
        int prefix;
        int tokens;
    };

    int m_capacityTokens;
    int m_heldTokens = 0;
    // The most recently used first.
    std::list<Entry> m_entries;
};

} // namespace almondscale
