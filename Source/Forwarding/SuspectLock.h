#pragma once

#include "Forwarding/Asio.h"
#include "Serving/BackendId.h"
#include "Serving/CrashSubject.h"

#include <functional>

namespace almondscale {

// Result of an attempt to lock a server for a suspect request.
enum class SuspectLockResult {
    Acquired,
    // Another suspect runs on the server.
    ServerBusy,
    // A request with the same subject runs on some server.
    SubjectBusy,
    // The lock state cannot be determined now.
    Unavailable,
};

// Lock for suspect requests, shared by all hosts. At most one suspect runs on a server, and at most
// one with the same subject runs anywhere, so that a crash can be attributed to one request.
struct SuspectLock {
    // After Acquired, release must be called whatever the result of the run.
    std::function<awaitable<SuspectLockResult>(CrashSubject, BackendId)> acquire;
    std::function<awaitable<void>(CrashSubject, BackendId)> release;
};

} // namespace almondscale
