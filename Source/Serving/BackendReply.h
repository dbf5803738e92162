#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/HttpHeads.h"
#include "Serving/RequestRate.h"

#include <optional>
#include <string>

namespace almondscale {

// The decoded head of a backend server's response.
struct BackendReply {
    HttpResponseHead head;
    // The server states that it did not execute the request and will not.
    bool notExecuted = false;
    // The address belongs to another server now.
    bool wrongBackend = false;
    // The id of the request that this is the response to, if the server sends it.
    std::string requestId;
    // The server announces that it is shutting down.
    bool leaving = false;
    // The server asks this host to send nothing more for this long.
    std::optional<Nanoseconds> retryAfter;
    // The requests per second that the server takes from all hosts together, if it names a limit.
    std::optional<RequestRate> limit;
    // The server names a limit that is no number.
    bool limitUnreadable = false;
    // The response carries a signature that identifies the server which produced it.
    bool isSigned = false;

    bool success() const { return head.status >= 200 && head.status < 300; }
};

} // namespace almondscale
