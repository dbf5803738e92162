#pragma once

#include "Core/BlockCount.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// How fast one engine of a pool works and how much KV cache it holds.
struct EngineProfile {
    // The part of a step that does not depend on the work in it.
    Nanoseconds stepBase = std::chrono::milliseconds(8);
    Nanoseconds perPrefillToken = std::chrono::microseconds(20);
    Nanoseconds perDecodeSlot = std::chrono::microseconds(110);
    // The most prefill tokens in one step; a mixed engine takes fewer, to keep token gaps short.
    TokenCount mixedChunk { 512 };
    TokenCount prefillChunk { 4096 };
    int decodeSlots = 64;
    BlockCount blocks { 4000 };
    TokenCount tokensPerBlock { 32 };
};

} // namespace almondscale
