#pragma once

#include "Load/BookingAudit.h"
#include "Load/LoadOptions.h"
#include "Load/LoadTally.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondscale {

// What a run of load showed.
struct LoadResult {
    LoadTally tally;
    BookingAudit::Verdict bookings;
    // Whether the service told what it ran.
    bool bookingsCounted = true;
    std::string cost;
};

// Sends the calls of a run from a bounded number of threads, each at its planned time.
LoadResult runLoad(const LoadOptions&);

// How often the services ran each key; false if one did not tell.
bool readRuns(const std::vector<Address>& services, std::map<std::string, std::int64_t>& runs);

} // namespace almondscale
