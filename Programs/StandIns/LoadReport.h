#pragma once

#include "Core/BlockCount.h"
#include "Core/EngineRole.h"
#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

#include <cstdint>

namespace almondscale::standin {

// An engine's load at one instant.
struct LoadReport {
    std::uint64_t boot = 0;
    EngineRole role = EngineRole::Mixed;
    ModelName model;
    MonotonicTime sampledAt {};
    std::int64_t running = 0;
    std::int64_t queued = 0;
    // The work that is left in running and queued attempts.
    TokenCount prefillTokens;
    TokenCount decodeTokens;
    BlockCount freeBlocks;
    BlockCount totalBlocks;
    std::uint64_t sequence = 0;
};

} // namespace almondscale::standin
