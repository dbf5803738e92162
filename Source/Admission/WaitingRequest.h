#pragma once

#include "Admission/RequestId.h"
#include "Core/ByteCount.h"
#include "Core/Deadline.h"
#include "Core/Priority.h"

namespace almondscale {

// A request queued at the host.
struct WaitingRequest {
    RequestId id;
    Priority priority;
    Deadline deadline = Deadline::never();
    // The memory used while it is queued.
    ByteCount bytes;
    // Its service time on an idle engine.
    Nanoseconds serviceTime {};
    // The engine time that it consumes. One second in a slot of an engine with 32 slots is 1/32 s.
    Nanoseconds work {};
};

} // namespace almondscale
