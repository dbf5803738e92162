#pragma once

#include "Core/Deadline.h"
#include "Core/EngineRole.h"
#include "Serving/BackendLifetime.h"

namespace almondscale {

// An engine that was ordered to change its role. It gets no new work until it has the role or the time is
// over.
struct RoleTransition {
    BackendLifetime engine;
    EngineRole role = EngineRole::Decode;
    Deadline until;
};

} // namespace almondscale
