#pragma once

#include "Core/ModelName.h"
#include "Core/TokenCount.h"

namespace almondscale {

// The rule that names one model.
struct ModelRule {
    ModelName model;
    // The most tokens that a prompt and its answer may have together.
    TokenCount contextTokens;
};

} // namespace almondscale
