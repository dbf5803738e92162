#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one plain service.
using ServiceName = Identifier<struct ServiceNameTag>;

} // namespace almondscale
