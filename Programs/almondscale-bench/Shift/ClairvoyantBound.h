#pragma once

#include "Roles/RoleCounts.h"
#include "Shift/Arrival.h"
#include "Shift/Fleet.h"
#include "Shift/Mix.h"

#include <cstdint>

namespace almondscale {

// What a policy that knows all arrivals in advance could reach at most.
struct ClairvoyantResult {
    double completeInTime = 0;
    // Role changes on the way to it.
    int roleChanges = 0;
};

// An upper bound of the answers in time of one pool, by dynamic programming over
// the sharing out of roles in short intervals. It is relaxed in the pool's favour:
// work is divisible, prompts always find their prefix cached, batches are always
// full, the price of a change is rounded down to whole intervals, and what an
// engine becomes need only be decided when it is back.
ClairvoyantResult clairvoyantBound(const Mix&, const Fleet&, const PoolArrivals&, const RoleCounts& initial);

} // namespace almondscale
