#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// Distinguishes a restarted or replaced host from its predecessor at the same address.
using Incarnation = Quantity<struct IncarnationTag, std::uint64_t>;

} // namespace almondscale
