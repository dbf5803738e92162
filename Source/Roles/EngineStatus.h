#pragma once

#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/MonotonicTime.h"
#include "Roles/EngineReadiness.h"

namespace almondscale {

// What is known about one engine of the pool.
struct EngineStatus {
    EngineId engine;
    // The role that it has, or will have once its change is done.
    EngineRole role = EngineRole::Mixed;
    EngineReadiness readiness = EngineReadiness::Ready;
    // When the engine last reported.
    MonotonicTime reportedAt {};
};

} // namespace almondscale
