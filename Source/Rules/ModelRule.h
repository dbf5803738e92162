#pragma once

#include "Core/ModelName.h"
#include "Core/TokenCount.h"

namespace almondscale {

// A `model` rule: declares one model.
struct ModelRule {
    ModelName model;
    // The maximum number of tokens of a prompt and its completion together.
    TokenCount contextTokens;
};

} // namespace almondscale
