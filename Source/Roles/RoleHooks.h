#pragma once

#include "Rules/RoleRule.h"

#include <functional>
#include <vector>

namespace almondscale {

// Where the role policy gets what varies.
struct RoleHooks {
    // The floors and ceilings in force for the pool.
    std::function<std::vector<RoleRule>()> rules;
};

} // namespace almondscale
