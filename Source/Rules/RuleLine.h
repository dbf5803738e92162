#pragma once

#include "Rules/RuleError.h"

#include <map>
#include <string>
#include <vector>

namespace almondscale {

// One tokenized rule, `KEYWORD NAME key=value...`, before its values are checked.
struct RuleLine {
    // Counted from 1.
    int line = 0;
    std::string keyword;
    std::string name;
    std::map<std::string, std::string> attributes;
};

// The tokenized rules of a text and the errors found.
struct RuleLines {
    std::vector<RuleLine> lines;
    std::vector<RuleError> errors;
};

// Splits a rules text into rules. Blank and comment-only lines are skipped.
RuleLines tokenizeRules(const std::string& text);

} // namespace almondscale
