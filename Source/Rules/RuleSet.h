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

// One version of the operators' rules, checked and ready for use.
struct RuleSet {
    RulesVersion version;
    // The text that the operators wrote.
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
