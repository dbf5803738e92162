#pragma once

#include "Rules/RoleRule.h"

#include <functional>
#include <vector>

namespace almondscale {

// Callbacks of the role policy.
struct RoleHooks {
    // Returns the floors and ceilings in force for the pool. May be empty.
    std::function<std::vector<RoleRule>()> rules;
};

} // namespace almondscale
