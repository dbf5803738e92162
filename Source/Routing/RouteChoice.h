#pragma once

#include "Core/EngineId.h"
#include "Core/MonotonicTime.h"

namespace almondscale {

// The engines for a request; both are the same unless KV cache has to be moved.
struct RouteChoice {
    EngineId prefill;
    EngineId decode;
    MonotonicTime firstTokenAt;
    MonotonicTime completionAt;

    bool movesCache() const { return prefill != decode; }
};

} // namespace almondscale
