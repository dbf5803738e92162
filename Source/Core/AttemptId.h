#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one attempt at a request; each retry has its own.
using AttemptId = Identifier<struct AttemptIdTag>;

} // namespace almondscale
