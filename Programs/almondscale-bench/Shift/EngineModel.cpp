#include "Shift/EngineModel.h"

#include "Shift/PrefixCache.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace almondscale {

int blocksFor(const EngineWork& work, const EngineProfile& speeds)
{
    const auto perBlock = static_cast<int>(speeds.tokensPerBlock.count());
    const int tokens = work.promptTokens + (work.part == EngineWork::Part::Prefill ? 0 : work.outputTokens);
    return (tokens + perBlock - 1) / perBlock;
}

class EngineModel::Impl {
public:
    Impl(const EngineProfile& speeds, EngineRole role, EngineEvents events)
        : m_speeds(speeds)
        , m_events(std::move(events))
        , m_role(role)
        , m_cache(prefixCacheTokens)
        , m_freeBlocks(static_cast<int>(speeds.blocks.count()))
    {
    }

    void submit(const EngineWork& work, MonotonicTime now)
    {
        m_waiting.push_back(work);
        if (work.part != EngineWork::Part::Decode)
            m_waitingPrefill += work.promptTokens;
        beginStepIfIdle(now);
    }

    void cancel(RequestIndex, MonotonicTime now);
    void releaseMoved(RequestIndex request, MonotonicTime now)
    {
        release(request);
        beginStepIfIdle(now);
    }
    void finishStep(MonotonicTime now);
    std::vector<RequestIndex> restart(EngineRole);

    bool idle() const { return m_waiting.empty() && m_held.empty(); }
    EngineModelLoad load() const;

    EngineProfile m_speeds;
    EngineEvents m_events;
    EngineRole m_role;
    EngineTotals m_totals;
    std::optional<MonotonicTime> m_stepEnd;

private:
    struct Prefilling {
        EngineWork work;
        int left;
        // Tokens that the step under way works through.
        int chunk;
    };

    void admitWaiting();
    void beginStep(MonotonicTime now);
    void beginStepIfIdle(MonotonicTime now)
    {
        if (!m_stepEnd)
            beginStep(now);
    }
    void remove(RequestIndex);
    int takeChunk();
    void endPrefills();
    void endDecodes();
    void startDecoding(const EngineWork&, int stepsLeft);
    void release(RequestIndex);

    PrefixCache m_cache;
    int m_freeBlocks;
    std::deque<EngineWork> m_waiting;
    int m_waitingPrefill = 0;
    std::deque<Prefilling> m_prefilling;
    int m_activePrefill = 0;
    // Requests by the number of the decode step that ends them.
    std::multimap<std::int64_t, RequestIndex> m_endsAt;
    std::unordered_map<RequestIndex, std::int64_t> m_endOf;
    std::int64_t m_decodeStep = 0;
    int m_decoding = 0;
    // The decode slots that the step under way serves.
    int m_slotsInStep = 0;
    // Blocks held for each request that was taken from the waiting ones.
    std::unordered_map<RequestIndex, int> m_held;
};

EngineModelLoad EngineModel::Impl::load() const
{
    EngineModelLoad load;
    load.prefillTokens = m_waitingPrefill + m_activePrefill;
    load.running = m_decoding + static_cast<int>(m_prefilling.size());
    load.waiting = static_cast<int>(m_waiting.size());
    load.freeBlocks = m_freeBlocks;
    for (const auto& [end, request] : m_endsAt)
        load.decodeTokens += static_cast<int>(end - m_decodeStep);
    for (const auto& prefilling : m_prefilling)
        load.decodeTokens
            += prefilling.work.part == EngineWork::Part::Whole ? prefilling.work.outputTokens : 0;
    for (const auto& work : m_waiting)
        load.decodeTokens += work.part == EngineWork::Part::Prefill ? 0 : work.outputTokens;
    return load;
}

void EngineModel::Impl::release(RequestIndex request)
{
    const auto held = m_held.find(request);
    if (held == m_held.end())
        return;
    m_freeBlocks += held->second;
    m_held.erase(held);
}

void EngineModel::Impl::startDecoding(const EngineWork& work, int stepsLeft)
{
    const auto end = m_decodeStep + stepsLeft;
    m_endsAt.emplace(end, work.request);
    m_endOf[work.request] = end;
    ++m_decoding;
}

// First come, first served: a request that does not fit holds up those behind it.
void EngineModel::Impl::admitWaiting()
{
    while (!m_waiting.empty()) {
        const EngineWork work = m_waiting.front();
        const int blocks = blocksFor(work, m_speeds);
        const int inBatch = m_decoding + static_cast<int>(m_prefilling.size());
        if (blocks > m_freeBlocks || inBatch >= m_speeds.decodeSlots)
            return;
        m_waiting.pop_front();
        m_freeBlocks -= blocks;
        m_held[work.request] = blocks;
        if (work.part == EngineWork::Part::Decode) {
            startDecoding(work, work.outputTokens - 1);
            continue;
        }
        m_waitingPrefill -= work.promptTokens;
        const int left = std::max(1, work.promptTokens - m_cache.hit(work.prefix, work.prefixTokens));
        m_activePrefill += left;
        m_prefilling.push_back({ work, left, 0 });
    }
}

int EngineModel::Impl::takeChunk()
{
    const auto& limit = m_role == EngineRole::Prefill ? m_speeds.prefillChunk : m_speeds.mixedChunk;
    int room = static_cast<int>(limit.count());
    for (auto& prefilling : m_prefilling) {
        prefilling.chunk = std::min(room, prefilling.left);
        room -= prefilling.chunk;
        if (room == 0)
            break;
    }
    return static_cast<int>(limit.count()) - room;
}

void EngineModel::Impl::beginStep(MonotonicTime now)
{
    m_stepEnd.reset();
    admitWaiting();
    if (m_prefilling.empty() && m_decoding == 0)
        return;
    const int chunk = takeChunk();
    m_slotsInStep = m_decoding;
    const auto time
        = m_speeds.stepBase + chunk * m_speeds.perPrefillToken + m_slotsInStep * m_speeds.perDecodeSlot;
    m_stepEnd = now + time;
    ++m_totals.steps;
    m_totals.busy += time;
    m_totals.prefillTokens += chunk;
    m_totals.decodeTokens += m_slotsInStep;
}

void EngineModel::Impl::endPrefills()
{
    std::deque<Prefilling> rest;
    std::vector<EngineWork> done;
    for (auto& prefilling : m_prefilling) {
        m_activePrefill -= prefilling.chunk;
        prefilling.left -= prefilling.chunk;
        prefilling.chunk = 0;
        if (prefilling.left == 0)
            done.push_back(prefilling.work);
        else
            rest.push_back(prefilling);
    }
    m_prefilling = std::move(rest);
    for (const auto& work : done) {
        m_cache.store(work.prefix, work.prefixTokens);
        if (work.part == EngineWork::Part::Whole && work.outputTokens > 1)
            startDecoding(work, work.outputTokens - 1);
        m_events.prefilled(work.request);
        if (work.outputTokens > 1)
            continue;
        release(work.request);
        m_events.finished(work.request);
    }
}

void EngineModel::Impl::endDecodes()
{
    if (m_slotsInStep == 0)
        return;
    ++m_decodeStep;
    while (!m_endsAt.empty() && m_endsAt.begin()->first <= m_decodeStep) {
        const auto request = m_endsAt.begin()->second;
        m_endsAt.erase(m_endsAt.begin());
        m_endOf.erase(request);
        --m_decoding;
        release(request);
        m_events.finished(request);
    }
}

void EngineModel::Impl::finishStep(MonotonicTime now)
{
    m_stepEnd.reset();
    // Requests that join the batch in this step get their next token in the one after it.
    endDecodes();
    endPrefills();
    beginStep(now);
}

void EngineModel::Impl::cancel(RequestIndex request, MonotonicTime now)
{
    remove(request);
    beginStepIfIdle(now);
}

void EngineModel::Impl::remove(RequestIndex request)
{
    for (auto work = m_waiting.begin(); work != m_waiting.end(); ++work) {
        if (work->request != request)
            continue;
        if (work->part != EngineWork::Part::Decode)
            m_waitingPrefill -= work->promptTokens;
        m_waiting.erase(work);
        return;
    }
    for (auto prefilling = m_prefilling.begin(); prefilling != m_prefilling.end(); ++prefilling) {
        if (prefilling->work.request != request)
            continue;
        m_activePrefill -= prefilling->left;
        m_prefilling.erase(prefilling);
        break;
    }
    if (const auto end = m_endOf.find(request); end != m_endOf.end()) {
        auto [first, last] = m_endsAt.equal_range(end->second);
        m_endsAt.erase(
            std::find_if(first, last, [request](const auto& entry) { return entry.second == request; }));
        m_endOf.erase(end);
        --m_decoding;
    }
    release(request);
}

std::vector<RequestIndex> EngineModel::Impl::restart(EngineRole role)
{
    std::vector<RequestIndex> lost;
    for (const auto& [request, blocks] : m_held)
        lost.push_back(request);
    for (const auto& work : m_waiting)
        lost.push_back(work.request);
    std::sort(lost.begin(), lost.end());
    m_role = role;
    m_cache.clear();
    m_freeBlocks = static_cast<int>(m_speeds.blocks.count());
    m_waiting.clear();
    m_waitingPrefill = 0;
    m_prefilling.clear();
    m_activePrefill = 0;
    m_endsAt.clear();
    m_endOf.clear();
    m_decoding = 0;
    m_held.clear();
    m_stepEnd.reset();
    return lost;
}

EngineModel::EngineModel(const EngineProfile& speeds, EngineRole role, EngineEvents events)
    : m_impl(std::make_unique<Impl>(speeds, role, std::move(events)))
{
}

EngineModel::~EngineModel() = default;
EngineModel::EngineModel(EngineModel&&) noexcept = default;

void EngineModel::submit(const EngineWork& work, MonotonicTime now) { m_impl->submit(work, now); }

void EngineModel::cancel(RequestIndex request, MonotonicTime now) { m_impl->cancel(request, now); }

void EngineModel::releaseMoved(RequestIndex request, MonotonicTime now)
{
    m_impl->releaseMoved(request, now);
}

std::optional<MonotonicTime> EngineModel::stepEnd() const { return m_impl->m_stepEnd; }

void EngineModel::finishStep(MonotonicTime now) { m_impl->finishStep(now); }

std::vector<RequestIndex> EngineModel::restart(EngineRole role) { return m_impl->restart(role); }

bool EngineModel::idle() const { return m_impl->idle(); }

EngineRole EngineModel::role() const { return m_impl->m_role; }

EngineModelLoad EngineModel::load() const { return m_impl->load(); }

const EngineTotals& EngineModel::totals() const { return m_impl->m_totals; }

} // namespace almondscale
