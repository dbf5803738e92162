#pragma once

#include "Rules/ObjectiveRule.h"

#include <optional>
#include <vector>

namespace almondscale {

// Returns the most specific rule for a request, or std::nullopt if none applies. A match of the
// organisation takes precedence over a match of the model, and either over "*". Of equally specific
// rules the first wins.
std::optional<ObjectiveRule> findObjective(
    const std::vector<ObjectiveRule>&, const ModelName&, const Organisation&);

} // namespace almondscale
