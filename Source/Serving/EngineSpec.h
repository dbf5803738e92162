#pragma once

#include "Core/ByteCount.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// Properties shared by all engines of a service.
struct EngineSpec {
    // Requests that run concurrently.
    int slots = 0;
    // Memory shared by running requests and cached prefixes, in tokens.
    TokenCount memory;
    ByteCount bytesPerToken;
    // How long the KV cache of a prefill is kept for the engine that fetches it.
    Nanoseconds handleLifetime {};
    // How long an engine is unavailable while it changes its role.
    Nanoseconds roleChangeTime {};
};

} // namespace almondscale
