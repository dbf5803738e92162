#pragma once

#include "Core/EngineId.h"
#include "Core/EngineRole.h"

namespace almondscale {

// A change that is worth its cost.
struct RoleChange {
    EngineId engine;
    EngineRole from = EngineRole::Mixed;
    EngineRole to = EngineRole::Mixed;
    // Further answers in time over the horizon, after the cost of the change.
    double expectedGain = 0;
};

} // namespace almondscale
