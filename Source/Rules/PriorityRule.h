#pragma once

#include "Core/Organisation.h"
#include "Core/Priority.h"

namespace almondscale {

// A `priority` rule: the highest priority that the requests of an organisation may request.
struct PriorityRule {
    Organisation organisation;
    Priority highest;
};

} // namespace almondscale
