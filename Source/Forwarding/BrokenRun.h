#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Serving/BackendLifetime.h"
#include "Serving/RequestSubjects.h"

#include <vector>

namespace almondscale {

// A request whose server closed the connection before the response was complete.
struct BrokenRun {
    CallerRequestId request;
    RequestSubjects subjects;
    BackendLifetime server;
    Address address;
    MonotonicTime sentAt {};
    MonotonicTime brokenAt {};
    // An earlier response was read on the connection.
    bool usedConnection = false;
    // The connection was reset rather than closed.
    bool reset = false;
    bool prefill = false;
    // Of each subject; see ServerEnd::step.
    std::vector<int> steps;
    // The request held the suspect lock of the server, so no other suspect ran there.
    bool apart = false;
};

} // namespace almondscale
