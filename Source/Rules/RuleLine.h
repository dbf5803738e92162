#pragma once

#include "Rules/RuleError.h"

#include <map>
#include <string>
#include <vector>

namespace almondscale {

// One rule cut into its word, its name and its pairs, before their values are checked.
struct RuleLine {
    int line = 0;
    std::string keyword;
    std::string name;
    std::map<std::string, std::string> attributes;
};

// The rules of a text and the faults found while cutting it.
struct RuleLines {
    std::vector<RuleLine> lines;
    std::vector<RuleError> errors;
};

// Cuts the text into rules; blank lines and lines that hold only a comment are left out.
RuleLines tokenizeRules(const std::string& text);

} // namespace almondscale
