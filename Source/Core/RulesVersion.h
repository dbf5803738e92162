#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The version of the operators' rules. The first version is 1; 0 means that there are none.
using RulesVersion = Quantity<struct RulesVersionTag, std::uint64_t>;

} // namespace almondscale
