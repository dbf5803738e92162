#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The priority of a request. Higher values are served first.
using Priority = Quantity<struct PriorityTag, int>;

} // namespace almondscale
