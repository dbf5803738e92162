#include "Routing/PrefixHints.h"

#include <algorithm>

namespace almondscale {

namespace {

    // An engine of the target size caches fewer prefixes than this.
    constexpr std::size_t maxHints = 4096;

} // namespace

void PrefixHints::add(PrefixHash prefix, MonotonicTime expiresAt, MonotonicTime now)
{
    if (m_expiry.size() >= maxHints)
        evict(now);
    m_expiry[prefix] = expiresAt;
}

std::uint64_t PrefixHints::apply(const std::vector<CacheEvent>& events, std::uint64_t next,
    MonotonicTime expiresAt, MonotonicTime gapExpiry, MonotonicTime now)
{
    for (const auto& event : events) {
        if (event.sequence < m_next)
            continue;
        if (event.sequence > m_next)
            limitExpiry(gapExpiry);
        m_next = event.sequence + 1;
        if (event.kind == CacheEventKind::Stored)
            add(event.prefix, expiresAt, now);
        else
            m_expiry.erase(event.prefix);
    }
    if (next > m_next)
        limitExpiry(gapExpiry);
    // A sequence number that decreases means that the engine has restarted.
    if (next < m_next && events.empty())
        clear();
    m_next = std::max(m_next, next);
    return m_next;
}

bool PrefixHints::holds(PrefixHash prefix, MonotonicTime now) const
{
    const auto found = m_expiry.find(prefix);
    return found != m_expiry.end() && now < found->second;
}

void PrefixHints::clear()
{
    m_expiry.clear();
    m_next = 0;
}

void PrefixHints::limitExpiry(MonotonicTime expiry)
{
    for (auto& hint : m_expiry)
        hint.second = std::min(hint.second, expiry);
}

void PrefixHints::evict(MonotonicTime now)
{
    auto soonest = m_expiry.begin();
    for (auto hint = m_expiry.begin(); hint != m_expiry.end();) {
        if (hint->second <= now) {
            hint = m_expiry.erase(hint);
            soonest = m_expiry.begin();
            continue;
        }
        if (hint->second < soonest->second)
            soonest = hint;
        ++hint;
    }
    if (m_expiry.size() >= maxHints)
        m_expiry.erase(soonest);
}

} // namespace almondscale
