#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies a caller's request at the host that received it.
using RequestId = Identifier<struct RequestIdTag>;

} // namespace almondscale
