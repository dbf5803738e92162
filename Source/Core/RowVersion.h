#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The version of a row in the platform's table; 0 stands for an absent row.
using RowVersion = Quantity<struct RowVersionTag, std::uint64_t>;

} // namespace almondscale
