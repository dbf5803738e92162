#pragma once

#include "Core/Organisation.h"

namespace almondscale {

// A `limit` rule: bounds the request rate of one organisation over all hosts together.
// The organisation "*" sets the default for each organisation without a rule of its own.
struct LimitRule {
    Organisation organisation;
    double requestsPerSecond = 0;
};

} // namespace almondscale
