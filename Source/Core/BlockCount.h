#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// A number of KV cache blocks.
using BlockCount = Quantity<struct BlockCountTag>;

} // namespace almondscale
