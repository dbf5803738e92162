#pragma once

#include "Roles/RoleCounts.h"
#include "Rules/RoleRule.h"

#include <vector>

namespace almondscale {

// By how many engines a sharing out breaks the floors and ceilings; 0 if it keeps them.
int boundsViolation(const RoleCounts&, const std::vector<RoleRule>&);

} // namespace almondscale
