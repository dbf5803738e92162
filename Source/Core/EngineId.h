#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one model engine.
using EngineId = Identifier<struct EngineIdTag>;

} // namespace almondscale
