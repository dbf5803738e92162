#pragma once

#include "Core/Deadline.h"
#include "Core/EngineRole.h"
#include "Serving/BackendLifetime.h"

namespace almondscale {

// An engine that is ordered to another role; until it has it, or the time is over, it gets
// no new work.
struct RoleTransition {
    BackendLifetime engine;
    EngineRole role = EngineRole::Decode;
    Deadline until;
};

} // namespace almondscale
