#pragma once

#include "Core/RulesVersion.h"
#include "Core/WriterId.h"

#include <cstdint>
#include <string>

namespace almondscale {

// One change of the rules that is in the history, with the whole text it left.
struct RulesChange {
    RulesVersion version;
    WriterId change;
    // The change of the version before; empty for the first.
    WriterId parent;
    // Who applied it, and when by the clock of that operator's computer.
    std::string author;
    std::int64_t unixSeconds = 0;
    std::string text;
};

} // namespace almondscale
