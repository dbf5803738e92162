#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// A number of bytes.
using ByteCount = Quantity<struct ByteCountTag>;

} // namespace almondscale
