#include "Roles/RoleBounds.h"

#include <algorithm>

namespace almondscale {

int boundsViolation(const RoleCounts& counts, const std::vector<RoleRule>& rules)
{
    int violation = 0;
    for (const auto& rule : rules) {
        const int count = counts.of(rule.role);
        violation += std::max(0, rule.floor - count) + std::max(0, count - rule.ceiling);
    }
    return violation;
}

} // namespace almondscale
