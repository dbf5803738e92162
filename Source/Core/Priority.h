#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The priority of a request; higher goes first.
using Priority = Quantity<struct PriorityTag, int>;

} // namespace almondscale
