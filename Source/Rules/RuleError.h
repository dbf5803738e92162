#pragma once

#include <string>

namespace almondscale {

// One fault in the operators' rules: the line, and what was read and what is allowed there.
struct RuleError {
    int line = 0;
    std::string text;

    friend bool operator==(const RuleError& a, const RuleError& b)
    {
        return a.line == b.line && a.text == b.text;
    }
};

} // namespace almondscale
