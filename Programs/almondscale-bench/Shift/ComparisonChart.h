#pragma once

#include "Report/SvgChart.h"
#include "Shift/ShiftOptions.h"
#include "Shift/ShiftOutcome.h"

#include <vector>

namespace almondscale {

// Draws goodput and role changes over time, as the mean over the seeds.
SvgChart comparisonChart(const ShiftOptions&, const std::vector<ShiftOutcome>&);

} // namespace almondscale
