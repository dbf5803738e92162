#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// Counts the times at which the platform's store came back from an older copy of itself; 0 if it does not
// say.
using StoreEra = Quantity<struct StoreEraTag, std::uint64_t>;

} // namespace almondscale
