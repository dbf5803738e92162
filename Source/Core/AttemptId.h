#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies one attempt at a request. Each retry has its own.
using AttemptId = Identifier<struct AttemptIdTag>;

} // namespace almondscale
