#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies a model engine.
using EngineId = Identifier<struct EngineIdTag>;

} // namespace almondscale
