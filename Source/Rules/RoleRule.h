#pragma once

#include "Core/EngineRole.h"
#include "Core/ModelName.h"

namespace almondscale {

// The rule that bounds how many engines of a model have a role in each data centre.
struct RoleRule {
    ModelName model;
    EngineRole role = EngineRole::Mixed;
    int floor = 0;
    int ceiling = 0;
};

} // namespace almondscale
