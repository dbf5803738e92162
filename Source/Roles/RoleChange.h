#pragma once

#include "Core/EngineId.h"
#include "Core/EngineRole.h"

namespace almondscale {

// A role change ordered by the policy.
struct RoleChange {
    EngineId engine;
    EngineRole from = EngineRole::Mixed;
    EngineRole to = EngineRole::Mixed;
    // The additional answers in time that the complete reassignment is expected to give over the
    // horizon, less its cost. Negative or zero if a rule forces the change.
    double expectedGain = 0;
};

} // namespace almondscale
