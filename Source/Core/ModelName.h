#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one language model.
using ModelName = Identifier<struct ModelNameTag>;

} // namespace almondscale
