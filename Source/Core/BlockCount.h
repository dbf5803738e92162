#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// A number of blocks of KV cache memory.
using BlockCount = Quantity<struct BlockCountTag>;

} // namespace almondscale
