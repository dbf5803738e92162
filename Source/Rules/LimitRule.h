#pragma once

#include "Core/Organisation.h"

namespace almondscale {

// The rule that limits one organisation over all hosts; "*" is the default for each.
struct LimitRule {
    Organisation organisation;
    double requestsPerSecond = 0;
};

} // namespace almondscale
