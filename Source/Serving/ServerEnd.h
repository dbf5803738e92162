#pragma once

#include "Core/MonotonicTime.h"
#include "Dispatch/Fingerprint.h"
#include "Serving/BackendLifetime.h"
#include "Serving/EndEvidence.h"

#include <vector>

namespace almondscale {

// A backend server terminated while it ran a request.
struct ServerEnd {
    BackendLifetime server;
    // When the request was sent, and when the server terminated.
    MonotonicTime sentAt {};
    MonotonicTime endedAt {};
    EndEvidence evidence = EndEvidence::Certain;
    // One more than the highest step recorded for the subject when the request was sent. Runs with the same
    // step may have run concurrently.
    int step = 0;
    // The request was a prefill.
    bool prefill = false;
    // The request ran isolated: no other suspect ran on the server.
    bool apart = false;
    // The request is not to blame, because it completed elsewhere or the server turned out to be alive.
    bool withdrawn = false;
    // For parts: the contents of the requests with the part that ran there, sorted, as far as recorded.
    std::vector<Fingerprint> contents = {};
};

} // namespace almondscale
