#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Dispatch/Fingerprint.h"
#include "Serving/BackendLifetime.h"
#include "Serving/CallerRequest.h"

#include <vector>

namespace almondscale {

// A request whose server closed the connection before the response was complete.
struct BrokenRun {
    CallerRequestId request;
    Fingerprint content;
    // The parts of its prompt.
    std::vector<PromptPartId> parts;
    BackendLifetime server;
    Address address;
    MonotonicTime sentAt {};
    MonotonicTime brokenAt {};
    // An earlier response was read on the connection.
    bool usedConnection = false;
    // The connection was reset rather than closed.
    bool reset = false;
    bool prefill = false;
    // See ServerEnd::step.
    int step = 0;
    // The request held the suspect lock of the server, so no other suspect ran there.
    bool apart = false;
};

} // namespace almondscale
