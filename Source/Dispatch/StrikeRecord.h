#pragma once

#include "Core/MonotonicTime.h"
#include "Dispatch/EngineInstance.h"
#include "Dispatch/Fingerprint.h"

#include <set>

namespace almondscale {

// Crashes of engines during runs of a request. Records are merged by the union of their sets, so
// hosts converge in any order.
struct StrikeRecord {
    Fingerprint fingerprint;
    // Engine instances that crashed while they ran the request.
    std::set<EngineInstance> crashes;
    // The crashes in which the engine ran no other request.
    std::set<EngineInstance> alone;
    // The crashes that the request did not cause, because it completed alone on an engine
    // afterwards.
    std::set<EngineInstance> cleared;
    // On the clock of the host that stores the record.
    MonotonicTime expiresAt;
};

} // namespace almondscale
