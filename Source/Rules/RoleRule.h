#pragma once

#include "Core/EngineRole.h"
#include "Core/ModelName.h"

namespace almondscale {

// A `roles` rule: the minimum and maximum number of engines of a model that have a role, per data centre.
struct RoleRule {
    ModelName model;
    EngineRole role = EngineRole::Mixed;
    int floor = 0;
    int ceiling = 0;
};

} // namespace almondscale
