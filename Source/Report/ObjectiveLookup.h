#pragma once

#include "Rules/ObjectiveRule.h"

#include <optional>
#include <vector>

namespace almondscale {

// The objective for a request: the organisation's own rule goes before that for "*".
std::optional<ObjectiveRule> findObjective(
    const std::vector<ObjectiveRule>&, const ModelName&, const Organisation&);

} // namespace almondscale
