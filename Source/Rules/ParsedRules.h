#pragma once

#include "Rules/RuleError.h"
#include "Rules/RuleSet.h"

#include <vector>

namespace almondscale {

// The outcome of reading the operators' text: rules that may be used only if there are no errors.
struct ParsedRules {
    RuleSet rules;
    // In the order of the lines.
    std::vector<RuleError> errors;

    bool ok() const { return errors.empty(); }
};

} // namespace almondscale
