#pragma once

#include "Dispatch/Fingerprint.h"
#include "Forwarding/Asio.h"
#include "Serving/BackendId.h"

#include <functional>

namespace almondscale {

// What becomes of a suspect that asks to run at a server.
enum class LaneEntry {
    Entered,
    // Another suspect runs there.
    ServerTaken,
    // Another request of the same content runs somewhere.
    RequestTaken,
    // Nobody can say now.
    Unavailable,
};

// Keeps suspects apart at all hosts: at most one runs at a server, and at most one of
// each content, so that a server that ends tells which request ended it.
struct SuspectLane {
    // Who has entered has to leave, whatever comes of the run.
    std::function<awaitable<LaneEntry>(Fingerprint, BackendId)> enter;
    std::function<awaitable<void>(Fingerprint, BackendId)> leave;
};

} // namespace almondscale
