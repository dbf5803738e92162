#pragma once

#include "Core/DataCentre.h"
#include "Core/MonotonicTime.h"

#include <chrono>

namespace almondscale {

// Bounds and estimates of a router.
struct RouterOptions {
    DataCentre dataCentre;
    // An engine with more work in front than this gets none; the request waits
    // at the host, where a later one of higher priority can still pass it.
    Nanoseconds maxEngineWait = std::chrono::seconds(1);
    // What another data centre must be better by, to be worth the way.
    Nanoseconds remoteDataCentrePenalty = std::chrono::milliseconds(20);
    // The share of a mixed engine's memory that whole requests leave free beside prefill engines.
    double mixedReserveFraction = 0.15;
    // A prefix is believed to be cached for this long after its last use.
    Nanoseconds prefixLifetime = std::chrono::seconds(60);
    // After a gap in the cache events, what was believed lasts this much longer.
    Nanoseconds gapGracePeriod = std::chrono::seconds(5);
    // Sends with no later sign of life are forgotten after this.
    Nanoseconds maxAttemptAge = std::chrono::minutes(10);
    // Whether the estimates add what was sent since the last report.
    bool extrapolateReports = true;
};

} // namespace almondscale
