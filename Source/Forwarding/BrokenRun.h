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
};

} // namespace almondscale
