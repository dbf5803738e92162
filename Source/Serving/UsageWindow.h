#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The number of a window of usage, see UsageBounds.
using UsageWindow = Quantity<struct UsageWindowTag>;

} // namespace almondscale
