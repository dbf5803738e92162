#pragma once

#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/MonotonicTime.h"
#include "Roles/EngineReadiness.h"

namespace almondscale {

// The last reported status of one engine of a pool.
struct EngineStatus {
    EngineId engine;
    // The current role, or the new role while a change is in progress.
    EngineRole role = EngineRole::Mixed;
    EngineReadiness readiness = EngineReadiness::Ready;
    MonotonicTime reportedAt {};
};

} // namespace almondscale
