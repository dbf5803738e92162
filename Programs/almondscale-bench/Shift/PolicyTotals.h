#pragma once

#include "Shift/ShiftOptions.h"
#include "Shift/ShiftOutcome.h"

#include <string>
#include <vector>

namespace almondscale {

// What one policy reached over all seeds.
struct PolicyTotals {
    std::string policy;
    std::int64_t offered = 0;
    std::int64_t completeInTime = 0;
    std::int64_t roleChanges = 0;
    double seconds = 0;
    // Answers in time as a share of the clairvoyant bound.
    double ofBound = 0;
};

std::vector<PolicyTotals> policyTotals(const std::vector<ShiftOutcome>&);

std::string policyTotalsLine(const ShiftOptions&, const PolicyTotals&);
std::string comparisonJson(
    const ShiftOptions&, const std::vector<ShiftOutcome>&, const std::vector<PolicyTotals>&);

} // namespace almondscale
