#pragma once

#include "Core/RulesVersion.h"
#include "Rules/ParsedRules.h"

#include <cstddef>
#include <string>

namespace almondscale {

// Longer texts are rejected.
constexpr std::size_t maxRulesBytes = 4UL << 20U;

// Parses and validates a rules text; `version` is only copied to the result.
ParsedRules parseRules(const std::string& text, RulesVersion version = RulesVersion(0));

} // namespace almondscale
