#pragma once

#include "Report/BurnHistory.h"
#include "Rules/ObjectiveRule.h"

namespace almondscale {

// The counts of one model and organisation, with the objective applied to the latest request.
struct BurnSeries {
    ObjectiveRule objective;
    BurnHistory history;
};

} // namespace almondscale
