#pragma once

#include "Core/RulesVersion.h"
#include "Rules/EngineRule.h"
#include "Rules/LimitRule.h"
#include "Rules/ModelRule.h"
#include "Rules/ObjectiveRule.h"
#include "Rules/PriorityRule.h"
#include "Rules/RoleRule.h"
#include "Rules/ServiceRule.h"

#include <string>
#include <vector>

namespace almondscale {

// One parsed and validated version of the operators' rules.
struct RuleSet {
    RulesVersion version;
    // The source text.
    std::string text;
    std::vector<ModelRule> models;
    std::vector<EngineRule> engines;
    std::vector<ServiceRule> services;
    std::vector<LimitRule> limits;
    std::vector<PriorityRule> priorities;
    std::vector<RoleRule> roles;
    std::vector<ObjectiveRule> objectives;
};

} // namespace almondscale
