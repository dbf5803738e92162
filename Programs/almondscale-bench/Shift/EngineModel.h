#pragma once

#include "Core/EngineRole.h"
#include "Core/MonotonicTime.h"
#include "Roles/EngineProfile.h"
#include "Shift/EngineModelLoad.h"
#include "Shift/EngineWork.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace almondscale {

// What a modelled engine tells about a request.
struct EngineEvents {
    // The prompt is worked through, which gives the first token.
    std::function<void(RequestIndex)> prefilled;
    std::function<void(RequestIndex)> finished;
};

// What a modelled engine has done so far.
struct EngineTotals {
    std::int64_t steps = 0;
    std::int64_t prefillTokens = 0;
    std::int64_t decodeTokens = 0;
    Nanoseconds busy {};
};

// A model engine with continuous batching: it works in steps, each of which
// carries a chunk of prefill and one token for each request in the batch.
// Only the ends of steps are visited.
class EngineModel {
public:
    EngineModel(const EngineProfile&, EngineRole, EngineEvents);
    ~EngineModel();
    EngineModel(EngineModel&&) noexcept;

    void submit(const EngineWork&, MonotonicTime now);

    // Takes a request out wherever it is; nothing happens if it is not here.
    void cancel(RequestIndex, MonotonicTime now);

    // Frees the KV cache of a finished prefill part once it has been moved.
    void releaseMoved(RequestIndex, MonotonicTime now);

    // When the step under way ends; nothing while the engine is idle.
    std::optional<MonotonicTime> stepEnd() const;

    // Ends the step that is due and begins the next.
    void finishStep(MonotonicTime now);

    // Begins anew in a role with an empty cache; returns the requests that were lost.
    std::vector<RequestIndex> restart(EngineRole);

    bool idle() const;
    EngineRole role() const;
    EngineModelLoad load() const;
    const EngineTotals& totals() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Blocks of KV cache that a part of a request takes.
int blocksFor(const EngineWork&, const EngineProfile&);

// Tokens of prompt beginnings that an engine keeps beside the requests in work.
constexpr int prefixCacheTokens = 32768;

} // namespace almondscale
