#pragma once

#include "Core/DataCentre.h"

#include <set>
#include <utility>

namespace almondscale {

// What is about to change in the pool of a service, for decisions about the servers that stay.
struct PoolOutlook {
    // Servers that were ordered and are not registered yet.
    int starting = 0;
    // Ready servers beyond those that the demand needs.
    int surplus = 0;
    // Data centres and kinds (spot or not) of which most servers are about to be released.
    std::set<std::pair<DataCentre, bool>> leaving;
};

} // namespace almondscale
