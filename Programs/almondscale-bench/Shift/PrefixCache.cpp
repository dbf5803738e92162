#include "Shift/PrefixCache.h"

#include <algorithm>

namespace almondscale {

PrefixCache::PrefixCache(int capacityTokens)
    : m_capacityTokens(capacityTokens)
{
}

int PrefixCache::hit(int prefix, int tokens)
{
    const auto entry = std::find_if(
        m_entries.begin(), m_entries.end(), [prefix](const Entry& held) { return held.prefix == prefix; });
    if (entry == m_entries.end())
        return 0;
    m_entries.splice(m_entries.begin(), m_entries, entry);
    return std::min(entry->tokens, tokens);
}

void PrefixCache::store(int prefix, int tokens)
{
    if (tokens <= 0 || tokens > m_capacityTokens || hit(prefix, tokens) >= tokens)
        return;
    if (!m_entries.empty() && m_entries.front().prefix == prefix) {
        m_heldTokens -= m_entries.front().tokens;
        m_entries.pop_front();
    }
    m_entries.push_front({ prefix, tokens });
    m_heldTokens += tokens;
    while (m_heldTokens > m_capacityTokens) {
        m_heldTokens -= m_entries.back().tokens;
        m_entries.pop_back();
    }
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_heldTokens = 0;
}

} // namespace almondscale
