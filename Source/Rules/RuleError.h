#pragma once

#include <string>

namespace almondscale {

// An error in a rules text.
struct RuleError {
    // Counted from 1.
    int line = 0;
    // What was read and what is allowed there.
    std::string text;

    friend bool operator==(const RuleError& a, const RuleError& b)
    {
        return a.line == b.line && a.text == b.text;
    }
};

} // namespace almondscale
