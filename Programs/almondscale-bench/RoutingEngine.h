#pragma once

#include "Core/AttemptId.h"
#include "Routing/CacheEvent.h"
#include "Routing/EngineSpeed.h"
#include "Routing/LoadReport.h"

#include <deque>
#include <functional>
#include <list>
#include <vector>

namespace almondscale {

// One request at a simulated engine.
struct RoutingJob {
    AttemptId attempt;
    std::size_t host = 0;
    TokenCount promptTokens;
    TokenCount outputTokens;
    PrefixHash prefix;
    TokenCount prefixTokens;
};

// What a simulated engine tells and needs.
struct RoutingEngineHooks {
    std::function<void(Nanoseconds delay, std::function<void()>)> after;
    std::function<void(const RoutingJob&)> firstToken;
    std::function<void(const RoutingJob&)> finished;
};

// A mixed engine under a fake clock: prefills one prompt at a time, decodes in
// slots, holds KV blocks for what runs and the prefixes used last.
class RoutingEngine {
public:
    RoutingEngine(EngineSpeed, RoutingEngineHooks);

    void submit(const RoutingJob&);
    LoadReport load(MonotonicTime now);
    // The cache events since the last call.
    std::vector<CacheEvent> takeEvents();
    std::int64_t prefillTokens() const { return m_prefilled; }

private:
    bool touchPrefix(PrefixHash);
    void startPrefill();
    void startDecode();
    std::int64_t blocks(const RoutingJob&) const;

    EngineSpeed m_speed;
    RoutingEngineHooks m_hooks;
    std::deque<RoutingJob> m_waiting;
    std::deque<RoutingJob> m_readyToDecode;
    bool m_prefilling = false;
    int m_decoding = 0;
    std::int64_t m_prefillWork = 0;
    std::int64_t m_decodeWork = 0;
    std::int64_t m_usedBlocks = 0;
    std::int64_t m_prefilled = 0;
    std::list<PrefixHash> m_prefixes;
    std::vector<CacheEvent> m_events;
    std::uint64_t m_eventSequence = 0;
    std::uint64_t m_reportSequence = 0;
};

} // namespace almondscale
