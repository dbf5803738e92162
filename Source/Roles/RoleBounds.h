#pragma once

#include "Roles/RoleCounts.h"
#include "Rules/RoleRule.h"

#include <vector>

namespace almondscale {

// The total number of engines by which the counts violate the floors and ceilings; 0 if they
// satisfy all rules.
int boundsViolation(const RoleCounts&, const std::vector<RoleRule>&);

} // namespace almondscale
