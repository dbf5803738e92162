#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The version of a row in the platform's table; 0 if the row does not exist.
using RowVersion = Quantity<struct RowVersionTag, std::uint64_t>;

} // namespace almondscale
