#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// Increases with each order to one engine.
using OrderNumber = Quantity<struct OrderNumberTag, std::uint64_t>;

} // namespace almondscale
