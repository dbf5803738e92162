#pragma once

#include "Core/RulesVersion.h"
#include "Rules/ParsedRules.h"

#include <cstddef>
#include <string>

namespace almondscale {

// The longest text of rules that is read.
constexpr std::size_t maxRulesBytes = 4UL << 20U;

// Reads and checks the operators' rules; the version is only noted in the result.
ParsedRules parseRules(const std::string& text, RulesVersion version = RulesVersion(0));

} // namespace almondscale
