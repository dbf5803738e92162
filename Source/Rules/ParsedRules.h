#pragma once

#include "Rules/RuleError.h"
#include "Rules/RuleSet.h"

#include <vector>

namespace almondscale {

// The result of parsing a rules text. The rules are valid only if there are no errors.
struct ParsedRules {
    RuleSet rules;
    // Sorted by line.
    std::vector<RuleError> errors;

    bool ok() const { return errors.empty(); }
};

} // namespace almondscale
