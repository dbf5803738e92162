#pragma once

#include "Shift/EngineModel.h"

#include <map>
#include <vector>

namespace almondscale {

// The modelled engine written out plainly: time passes tick by tick and every
// request in the batch is visited at the end of every step.
class NaiveEngine {
public:
    static constexpr Nanoseconds tick = std::chrono::microseconds(10);

    NaiveEngine(const EngineProfile& speeds, EngineRole role)
        : m_speeds(speeds)
        , m_role(role)
    {
    }

    void submit(const EngineWork& work) { m_requests.push_back({ work }); }

    void cancel(RequestIndex index)
    {
        for (auto& request : m_requests) {
            if (request.work.request == index && request.phase != Phase::Done)
                request.phase = Phase::Done;
        }
    }

    // Lets one tick pass; what ends now is recorded with the time.
    void pass(MonotonicTime now)
    {
        if (m_busy) {
            m_left -= tick;
            if (m_left > Nanoseconds(0))
                return;
            endStep(now);
        }
        beginStep();
    }

    // Begins a step if none is under way, without letting time pass.
    void kick()
    {
        if (!m_busy)
            beginStep();
    }

    std::map<RequestIndex, MonotonicTime> prefilled;
    std::map<RequestIndex, MonotonicTime> finished;

private:
    enum class Phase {
        Waiting,
        Prefill,
        Decode,
        Done,
    };
    struct Request {
        EngineWork work;
        Phase phase = Phase::Waiting;
        int prefillLeft = 0;
        int chunk = 0;
        int tokensLeft = 0;
        bool inStep = false;
    };

    int freeBlocks() const
    {
        int free = static_cast<int>(m_speeds.blocks.count());
        for (const auto& request : m_requests) {
            if (request.phase == Phase::Prefill || request.phase == Phase::Decode)
                free -= blocksFor(request.work, m_speeds);
        }
        return free;
    }

    int inBatch() const
    {
        int count = 0;
        for (const auto& request : m_requests)
            count += request.phase == Phase::Prefill || request.phase == Phase::Decode ? 1 : 0;
        return count;
    }

    void admit()
    {
        for (auto& request : m_requests) {
            if (request.phase != Phase::Waiting)
                continue;
            if (blocksFor(request.work, m_speeds) > freeBlocks() || inBatch() >= m_speeds.decodeSlots)
                return;
            request.tokensLeft = request.work.outputTokens - 1;
            request.prefillLeft = request.work.promptTokens;
            const auto held = m_prefixes.find(request.work.prefix);
            if (held != m_prefixes.end())
                request.prefillLeft -= std::min(held->second, request.work.prefixTokens);
            request.prefillLeft = std::max(1, request.prefillLeft);
            request.phase = request.work.part == EngineWork::Part::Decode ? Phase::Decode : Phase::Prefill;
        }
    }

    void beginStep()
    {
        admit();
        const auto limit = m_role == EngineRole::Prefill ? m_speeds.prefillChunk : m_speeds.mixedChunk;
        auto room = static_cast<int>(limit.count());
        Nanoseconds time = m_speeds.stepBase;
        m_busy = false;
        for (auto& request : m_requests) {
            request.inStep = request.phase == Phase::Prefill || request.phase == Phase::Decode;
            m_busy = m_busy || request.inStep;
            if (request.phase == Phase::Decode)
                time += m_speeds.perDecodeSlot;
            if (request.phase != Phase::Prefill)
                continue;
            request.chunk = std::min(room, request.prefillLeft);
            room -= request.chunk;
            time += request.chunk * m_speeds.perPrefillToken;
        }
        m_left = time;
    }

    void endStep(MonotonicTime now)
    {
        for (auto& request : m_requests) {
            if (!request.inStep)
                continue;
            if (request.phase == Phase::Decode && --request.tokensLeft == 0)
                end(request, now);
            else if (request.phase == Phase::Prefill)
                endChunk(request, now);
        }
    }

    void endChunk(Request& request, MonotonicTime now)
    {
        request.prefillLeft -= request.chunk;
        if (request.prefillLeft > 0)
            return;
        prefilled[request.work.request] = now;
        auto& held = m_prefixes[request.work.prefix];
        held = std::max(held, request.work.prefixTokens);
        request.phase = Phase::Decode;
        if (request.tokensLeft == 0)
            end(request, now);
    }

    void end(Request& request, MonotonicTime now)
    {
        request.phase = Phase::Done;
        finished[request.work.request] = now;
    }

    EngineProfile m_speeds;
    EngineRole m_role;
    std::vector<Request> m_requests;
    std::map<int, int> m_prefixes;
    bool m_busy = false;
    Nanoseconds m_left {};
};

} // namespace almondscale
