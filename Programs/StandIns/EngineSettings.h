#pragma once

#include "Core/BlockCount.h"
#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

#include <cstddef>

namespace almondscale::standin {

// What a stand-in engine can do and how fast.
struct EngineSettings {
    EngineId engine { "engine" };
    ModelName model { "model" };
    // The role at each start.
    EngineRole role = EngineRole::Mixed;
    // Whether an order with an old fencing number is refused.
    bool checksFencing = true;
    BlockCount blocks { 4000 };
    TokenCount blockTokens { 16 };
    double prefillTokensPerSecond = 50000;
    double decodeTokensPerSecond = 4000;
    std::size_t maxRunning = 64;
    std::size_t maxQueued = 256;
    Nanoseconds step = std::chrono::milliseconds(5);
    Nanoseconds loadLag = std::chrono::milliseconds(200);
    Nanoseconds eventLag = std::chrono::milliseconds(200);
    Nanoseconds roleChange = std::chrono::seconds(2);
    Nanoseconds requestReadTimeout = std::chrono::seconds(2);
    Nanoseconds downAfterCrash = std::chrono::seconds(1);
};

} // namespace almondscale::standin
