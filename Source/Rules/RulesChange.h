#pragma once

#include "Core/RulesVersion.h"
#include "Core/WriterId.h"

#include <cstdint>
#include <string>

namespace almondscale {

// One change in the history of the rules, with the complete resulting text.
struct RulesChange {
    RulesVersion version;
    WriterId change;
    // The change of the preceding version; empty for the first.
    WriterId parent;
    // The operator, and the time by the clock of the operator's computer.
    std::string author;
    std::int64_t unixSeconds = 0;
    std::string text;
};

} // namespace almondscale
