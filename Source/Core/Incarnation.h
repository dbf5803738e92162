#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// Separates a restarted or replaced host from its predecessor on the same address.
using Incarnation = Quantity<struct IncarnationTag, std::uint64_t>;

} // namespace almondscale
