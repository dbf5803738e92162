#pragma once

#include "Core/EngineId.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// The engines for a request; both are the same unless KV cache has to be moved.
struct RouteChoice {
    EngineId prefill;
    EngineId decode;
    // What the prefill engine probably has to compute, without what it holds in its
    // cache; to be passed to Router::onSent.
    TokenCount prefillTokens;
    MonotonicTime firstTokenAt;
    MonotonicTime completionAt;

    bool movesCache() const { return prefill != decode; }
};

} // namespace almondscale
