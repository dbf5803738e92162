#include "StandIns/EngineMemory.h"

#include <algorithm>

namespace almondscale::standin {

namespace {

    // Older events are forgotten, which leaves a gap for slow readers.
    constexpr std::size_t maxEvents = 4096;

} // namespace

EngineMemory::EngineMemory(
    std::int64_t totalBlocks, std::int64_t blockTokens, Nanoseconds eventLag, LoseEvent loseEvent)
    : m_totalBlocks(totalBlocks)
    , m_blockTokens(blockTokens)
    , m_eventLag(eventLag)
    , m_loseEvent(std::move(loseEvent))
{
}

bool EngineMemory::hold(EngineAttempt& attempt, MonotonicTime now)
{
    const std::int64_t needed = blocksFor(attempt.hash.tokens + attempt.request.maxTokens.count());
    const std::int64_t matched = m_cache.match(attempt.hash.blocks);
    m_cache.pin(attempt.hash.blocks, matched);
    const std::int64_t reserved = needed - matched;
    if (reserved > freeBlocks()) {
        m_cache.unpin(attempt.hash.blocks, matched);
        return false;
    }
    const std::int64_t used = m_reserved + m_cache.size();
    std::vector<std::string> evicted;
    m_cache.evict(used + reserved - m_totalBlocks, evicted);
    for (const std::string& prefix : evicted)
        addEvent(false, prefix, now);
    m_reserved += reserved;
    attempt.pinnedBlocks = matched;
    attempt.reservedBlocks = reserved;
    return true;
}

void EngineMemory::storePrompt(EngineAttempt& attempt, MonotonicTime now)
{
    const auto full = static_cast<std::int64_t>(attempt.hash.blocks.size());
    const bool known = m_cache.holdsPrefix(attempt.hash.prefix);
    m_cache.insert(attempt.hash.blocks, attempt.pinnedBlocks, full, attempt.hash.prefix);
    const std::int64_t moved = full - attempt.pinnedBlocks;
    attempt.pinnedBlocks = full;
    attempt.reservedBlocks -= moved;
    m_reserved -= moved;
    if (!known && full > 0)
        addEvent(true, attempt.hash.prefix, now);
}

void EngineMemory::release(EngineAttempt& attempt)
{
    m_cache.unpin(attempt.hash.blocks, attempt.pinnedBlocks);
    m_reserved -= attempt.reservedBlocks;
    attempt.pinnedBlocks = 0;
    attempt.reservedBlocks = 0;
}

std::vector<CacheEvent> EngineMemory::events(std::uint64_t since, MonotonicTime now) const
{
    std::vector<CacheEvent> visible;
    for (const CacheEvent& event : m_events) {
        if (event.sequence > since && event.visibleAt <= now)
            visible.push_back(event);
    }
    return visible;
}

void EngineMemory::clear()
{
    m_reserved = 0;
    m_cache.clear();
    m_events.clear();
    m_eventSequence = 0;
}

void EngineMemory::addEvent(bool stored, const std::string& prefix, MonotonicTime now)
{
    const std::uint64_t sequence = ++m_eventSequence;
    if (m_loseEvent())
        return;
    m_events.push_back({ sequence, stored, prefix, now + m_eventLag });
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

} // namespace almondscale::standin
