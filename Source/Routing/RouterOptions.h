#pragma once

#include "Core/DataCentre.h"
#include "Core/MonotonicTime.h"

#include <chrono>

namespace almondscale {

// Parameters of a Router.
struct RouterOptions {
    DataCentre dataCentre;
    // An engine with a longer queueing time gets no requests. They stay queued at the host, where a
    // later request of higher priority can still overtake them.
    Nanoseconds maxEngineWait = std::chrono::seconds(1);
    // Added to the expected completion time on engines of other data centres.
    Nanoseconds remoteDataCentrePenalty = std::chrono::milliseconds(20);
    // The fraction of a mixed engine's KV cache blocks that is not used for complete requests while
    // the model has prefill engines.
    double mixedReserveFraction = 0.15;
    // A prefix is assumed to be cached for this long after its last use.
    Nanoseconds prefixLifetime = std::chrono::seconds(60);
    // After a gap in the cache events, existing hints expire within this time.
    Nanoseconds gapGracePeriod = std::chrono::seconds(5);
    // Attempts whose end is not reported are removed this long after they were sent.
    Nanoseconds maxAttemptAge = std::chrono::minutes(10);
    // Whether load estimates extrapolate from the last report with the work sent since.
    bool extrapolateReports = true;
};

} // namespace almondscale
