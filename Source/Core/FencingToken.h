#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// Rises with each holder of a lease.
using FencingToken = Quantity<struct FencingTokenTag, std::uint64_t>;

} // namespace almondscale
