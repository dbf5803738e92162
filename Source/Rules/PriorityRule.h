#pragma once

#include "Core/Organisation.h"
#include "Core/Priority.h"

namespace almondscale {

// A `priority` rule: the highest priority allowed for the requests of an organisation.
struct PriorityRule {
    Organisation organisation;
    Priority highest;
};

} // namespace almondscale
