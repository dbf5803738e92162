#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies a language model.
using ModelName = Identifier<struct ModelNameTag>;

} // namespace almondscale
