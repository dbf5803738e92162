#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies a plain service.
using ServiceName = Identifier<struct ServiceNameTag>;

} // namespace almondscale
