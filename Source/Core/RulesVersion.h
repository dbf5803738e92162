#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The version of the operators' rules; the first is 1, 0 stands for none.
using RulesVersion = Quantity<struct RulesVersionTag, std::uint64_t>;

} // namespace almondscale
