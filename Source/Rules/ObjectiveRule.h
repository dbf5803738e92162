#pragma once

#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"
#include "Core/Organisation.h"

namespace almondscale {

// The rule that sets the service level for a model and an organisation; "*" is any.
struct ObjectiveRule {
    ModelName model;
    Organisation organisation;
    Nanoseconds firstToken {};
    Nanoseconds tokenGap {};
    // The share of requests that must meet both and be complete in time.
    double target = 0;
    int line = 0;
};

} // namespace almondscale
