#pragma once

#include "Core/Organisation.h"
#include "Core/Priority.h"

namespace almondscale {

// The rule that gives the highest priority an organisation's requests may ask for.
struct PriorityRule {
    Organisation organisation;
    Priority highest;
};

} // namespace almondscale
