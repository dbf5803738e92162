#pragma once

#include "Core/BlockCount.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// The performance profile of the engines of a pool: step times, batch limits and KV cache size.
struct EngineProfile {
    // The fixed cost of a step, independent of its batch.
    Nanoseconds stepBase = std::chrono::milliseconds(8);
    Nanoseconds perPrefillToken = std::chrono::microseconds(20);
    Nanoseconds perDecodeSlot = std::chrono::microseconds(110);
    // The maximum number of prefill tokens in one step. It is lower for mixed engines, since a long
    // prefill delays the next token of every request that is decoding.
    TokenCount mixedChunk { 512 };
    TokenCount prefillChunk { 4096 };
    int decodeSlots = 64;
    BlockCount blocks { 4000 };
    TokenCount tokensPerBlock { 32 };
};

} // namespace almondscale
