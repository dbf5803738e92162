#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// A number of tokens.
using TokenCount = Quantity<struct TokenCountTag>;

} // namespace almondscale
