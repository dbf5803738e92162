#pragma once

#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"
#include "Core/Organisation.h"

namespace almondscale {

// An `objective` rule: the service level objective of a model for an organisation; "*" matches any.
struct ObjectiveRule {
    ModelName model;
    Organisation organisation;
    // The latency bounds for the first token and between consecutive tokens.
    Nanoseconds firstToken {};
    Nanoseconds tokenGap {};
    // The share of requests, between 0 and 1, that must meet both bounds and complete in time.
    double target = 0;
    // The line of the rule in the rules text, counted from 1.
    int line = 0;
};

} // namespace almondscale
