#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/HttpHeads.h"

#include <optional>
#include <string>

namespace almondscale {

// The head of a backend server's response, decoded.
struct BackendReply {
    HttpResponseHead head;
    // The server says that the request did not run and will not.
    bool notExecuted = false;
    // Another server has the address now.
    bool wrongBackend = false;
    // The request that it answers, if it says so.
    std::string requestId;
    // The server says that it leaves.
    bool leaving = false;
    // The server wants nothing more from this host for so long.
    std::optional<Nanoseconds> retryAfter;
    // The response proves which server made it.
    bool isSigned = false;

    bool success() const { return head.status >= 200 && head.status < 300; }
};

} // namespace almondscale
