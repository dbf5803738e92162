#include "RoutingEngine.h"

#include <algorithm>

namespace almondscale {

namespace {

    constexpr std::int64_t totalBlocks = 4000;

    // The prefixes that stay in the cache beside the running requests.
    constexpr std::size_t cachedPrefixes = 8;

    Nanoseconds timeFor(std::int64_t tokens, double perSecond)
    {
        return std::chrono::duration_cast<Nanoseconds>(
            std::chrono::duration<double>(static_cast<double>(tokens) / perSecond));
    }

} // namespace

RoutingEngine::RoutingEngine(EngineSpeed speed, RoutingEngineHooks hooks)
    : m_speed(speed)
    , m_hooks(std::move(hooks))
{
}

void RoutingEngine::submit(const RoutingJob& job)
{
    m_waiting.push_back(job);
    m_prefillWork += job.promptTokens.count();
    m_decodeWork += job.outputTokens.count();
    m_usedBlocks += blocks(job);
    startPrefill();
}

LoadReport RoutingEngine::load(MonotonicTime now)
{
    LoadReport report;
    report.boot = 1;
    report.running = m_decoding + (m_prefilling ? 1 : 0);
    report.queued = static_cast<int>(m_waiting.size() + m_readyToDecode.size());
    report.prefillTokens = TokenCount(m_prefillWork);
    report.decodeTokens = TokenCount(m_decodeWork);
    report.totalBlocks = BlockCount(totalBlocks);
    report.freeBlocks = BlockCount(std::max<std::int64_t>(0, totalBlocks - m_usedBlocks));
    report.sequence = ++m_reportSequence;
    report.sampledAt = now;
    return report;
}

std::vector<CacheEvent> RoutingEngine::takeEvents()
{
    std::vector<CacheEvent> events;
    events.swap(m_events);
    return events;
}

// Returns whether the prefix was in the cache.
bool RoutingEngine::touchPrefix(PrefixHash prefix)
{
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    const bool held = found != m_prefixes.end();
    if (held)
        m_prefixes.erase(found);
    else
        m_events.push_back({ m_eventSequence++, CacheEventKind::Stored, prefix });
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > cachedPrefixes) {
        m_events.push_back({ m_eventSequence++, CacheEventKind::Evicted, m_prefixes.back() });
        m_prefixes.pop_back();
    }
    return held;
}

void RoutingEngine::startPrefill()
{
    if (m_prefilling || m_waiting.empty())
        return;
    m_prefilling = true;
    const RoutingJob job = m_waiting.front();
    m_waiting.pop_front();
    const std::int64_t cached = touchPrefix(job.prefix) ? job.prefixTokens.count() : 0;
    const std::int64_t tokens = job.promptTokens.count() - cached;
    m_prefilled += tokens;
    m_hooks.after(timeFor(tokens, m_speed.prefillTokensPerSecond), [this, job] {
        m_prefilling = false;
        m_prefillWork -= job.promptTokens.count();
        m_readyToDecode.push_back(job);
        startDecode();
        startPrefill();
    });
}

void RoutingEngine::startDecode()
{
    if (m_decoding >= m_speed.slots || m_readyToDecode.empty())
        return;
    ++m_decoding;
    const RoutingJob job = m_readyToDecode.front();
    m_readyToDecode.pop_front();
    m_hooks.firstToken(job);
    m_hooks.after(timeFor(job.outputTokens.count(), m_speed.decodeTokensPerSecond), [this, job] {
        --m_decoding;
        m_decodeWork -= job.outputTokens.count();
        m_usedBlocks -= blocks(job);
        m_hooks.finished(job);
        startDecode();
    });
}

std::int64_t RoutingEngine::blocks(const RoutingJob& job) const
{
    const auto perBlock = m_speed.tokensPerBlock.count();
    return ((job.promptTokens + job.outputTokens).count() + perBlock - 1) / perBlock;
}

} // namespace almondscale
