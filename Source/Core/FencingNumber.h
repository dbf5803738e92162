#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// Rises with each holder of a lease.
using FencingNumber = Quantity<struct FencingNumberTag, std::uint64_t>;

} // namespace almondscale
