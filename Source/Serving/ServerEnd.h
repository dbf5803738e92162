#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/BackendLifetime.h"
#include "Serving/EndEvidence.h"

namespace almondscale {

// A backend server ended while it ran a request.
struct ServerEnd {
    BackendLifetime server;
    // When the request was sent there, and when the server broke off.
    MonotonicTime sentAt {};
    MonotonicTime endedAt {};
    EndEvidence evidence = EndEvidence::Certain;
    // One more than the highest step under the content that was known when the request was sent.
    int step = 0;
    // The server was to prefill the prompt only.
    bool prefill = false;
    // No other suspect ran on the server.
    bool apart = false;
    // The request is not to blame: it ran to its end elsewhere, or the server lives.
    bool withdrawn = false;
};

} // namespace almondscale
