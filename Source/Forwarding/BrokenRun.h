#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Dispatch/Fingerprint.h"
#include "Serving/BackendLifetime.h"
#include "Serving/CallerRequest.h"

namespace almondscale {

// A send whose server closed the connection before its answer was whole.
struct BrokenRun {
    CallerRequestId request;
    Fingerprint content;
    BackendLifetime server;
    Address address;
    MonotonicTime sentAt {};
    MonotonicTime brokenAt {};
    // The connection had carried an answer of the server.
    bool usedConnection = false;
    // It was reset, and not closed.
    bool reset = false;
    bool prefill = false;
    // As in ServerEnd.
    int step = 0;
    // No other suspect ran on the server.
    bool apart = false;
};

} // namespace almondscale
