#pragma once

#include "Core/MonotonicTime.h"
#include "StandIns/CacheEvent.h"
#include "StandIns/EngineAttempt.h"
#include "StandIns/PrefixCache.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace almondscale::standin {

// The KV memory of a stand-in engine: blocks of running attempts and of cached
// prefixes, and the late events that tell about the latter.
class EngineMemory {
public:
    // Called for each event; an event for which it returns true is lost.
    using LoseEvent = std::function<bool()>;

    EngineMemory(std::int64_t totalBlocks, std::int64_t blockTokens, Nanoseconds eventLag, LoseEvent);

    std::int64_t blocksFor(std::int64_t tokens) const { return (tokens + m_blockTokens - 1) / m_blockTokens; }
    // Whether an attempt that needs the blocks could ever run.
    bool couldHold(std::int64_t blocks) const { return blocks <= m_totalBlocks; }

    // Holds the attempt's blocks, reusing its cached prefix; false if there is no room.
    bool hold(EngineAttempt&, MonotonicTime now);
    // Puts the attempt's prompt into the prefix cache.
    void storePrompt(EngineAttempt&, MonotonicTime now);
    void release(EngineAttempt&);

    void reserve(std::int64_t blocks) { m_reserved += blocks; }
    void unreserve(std::int64_t blocks) { m_reserved -= blocks; }

    std::int64_t freeBlocks() const { return m_totalBlocks - m_reserved - m_cache.pinned(); }
    std::int64_t totalBlocks() const { return m_totalBlocks; }
    std::vector<CacheEvent> events(std::uint64_t since, MonotonicTime now) const;
    void clear();

private:
    void addEvent(bool stored, const std::string& prefix, MonotonicTime now);

    std::int64_t m_totalBlocks;
    std::int64_t m_blockTokens;
    Nanoseconds m_eventLag;
    LoseEvent m_loseEvent;
    std::int64_t m_reserved = 0;
    PrefixCache m_cache;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_eventSequence = 0;
};

} // namespace almondscale::standin
