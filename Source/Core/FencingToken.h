#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// Increases with each new holder of a lease.
using FencingToken = Quantity<struct FencingTokenTag, std::uint64_t>;

} // namespace almondscale
