#pragma once

#include "Core/ByteCount.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// What the engines of one service have in common.
struct EngineSpec {
    // Requests that run at the same time.
    int slots = 0;
    // Memory that running requests and cached prompt parts share.
    TokenCount memory;
    ByteCount bytesPerToken;
    // How long the KV cache of a prefill is kept for the engine that fetches it.
    Nanoseconds handleLifetime {};
    // How long an engine is away when it changes role.
    Nanoseconds roleChangeTime {};
};

} // namespace almondscale
