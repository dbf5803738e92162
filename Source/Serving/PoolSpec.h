#pragma once

#include "Core/DataCentre.h"
#include "Core/MonotonicTime.h"

#include <map>
#include <optional>

namespace almondscale {

// How many servers a service may have in each data centre, and what they cost.
struct PoolSpec {
    // Bounds for one data centre, for reserved and spot servers together.
    int min = 0;
    int max = 0;
    // Time from an order until a new server takes requests.
    Nanoseconds bootTime {};
    // Price of a spot server as a share of that of a reserved one; unset if there are no spot servers.
    std::optional<double> spotPrice;
    // Price of a reserved server per second. Data centres without an entry have the price 1.
    std::map<DataCentre, double> prices;
};

} // namespace almondscale
