#pragma once

#include "Dispatch/Fingerprint.h"
#include "Forwarding/Asio.h"
#include "Serving/BackendId.h"

#include <functional>

namespace almondscale {

// What becomes of a suspect that asks to run at a server.
enum class SuspectLockResult {
    Acquired,
    // Another suspect runs there.
    ServerBusy,
    // Another request of the same content runs somewhere.
    ContentBusy,
    // Nobody can say now.
    Unavailable,
};

// Keeps suspects apart at all hosts: at most one runs at a server, and at most one of
// each content, so that a server that ends tells which request ended it.
struct SuspectLock {
    // Who has entered has to leave, whatever comes of the run.
    std::function<awaitable<SuspectLockResult>(Fingerprint, BackendId)> acquire;
    std::function<awaitable<void>(Fingerprint, BackendId)> release;
};

} // namespace almondscale
