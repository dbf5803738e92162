#pragma once

#include "Core/EngineId.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// The engines chosen for a request. They differ if the KV cache is transferred from one to the
// other.
struct RouteChoice {
    EngineId prefill;
    EngineId decode;
    // The prompt tokens that the prefill engine has probably not cached. To be passed to
    // Router::onSent().
    TokenCount prefillTokens;
    MonotonicTime firstTokenAt;
    // Includes the penalty for engines of other data centres.
    MonotonicTime completionAt;

    bool movesCache() const { return prefill != decode; }
};

} // namespace almondscale
