#pragma once

#include "Report/BurnHistory.h"
#include "Rules/ObjectiveRule.h"

namespace almondscale {

// The counts of one model and organisation, with the objective that they were last held against.
struct BurnSeries {
    ObjectiveRule objective;
    BurnHistory history;
};

} // namespace almondscale
