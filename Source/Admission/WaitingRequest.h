#pragma once

#include "Admission/RequestId.h"
#include "Core/ByteCount.h"
#include "Core/Deadline.h"
#include "Core/Priority.h"

namespace almondscale {

// A request that waits at the host for an engine.
struct WaitingRequest {
    RequestId id;
    Priority priority;
    Deadline deadline = Deadline::never();
    // The memory that it holds while it waits.
    ByteCount bytes;
    // How long an idle engine needs for it.
    Nanoseconds serviceTime {};
    // What it takes of the pool's capacity, in engine time; a slot of an engine
    // with 32 slots for a second is 1/32 s.
    Nanoseconds work {};
};

} // namespace almondscale
