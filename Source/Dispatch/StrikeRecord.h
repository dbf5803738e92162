#pragma once

#include "Core/MonotonicTime.h"
#include "Dispatch/EngineInstance.h"
#include "Dispatch/Fingerprint.h"

#include <set>

namespace almondscale {

// What is known of a request that was running when an engine crashed. Merging
// two records is the union of their sets, so that hosts agree in any order.
struct StrikeRecord {
    Fingerprint fingerprint;
    // The runs of engines that crashed with the request on them.
    std::set<EngineInstance> crashes;
    // Those of the crashes in which the request had the engine to itself.
    std::set<EngineInstance> alone;
    // Those of the crashes that the request is not to blame for, because it ran
    // alone to its end afterwards.
    std::set<EngineInstance> cleared;
    // On the clock of the host that holds the record.
    MonotonicTime expiresAt;
};

} // namespace almondscale
