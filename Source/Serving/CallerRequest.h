#pragma once

#include "Core/Identifier.h"
#include "Core/MonotonicTime.h"
#include "Core/Organisation.h"
#include "Core/Priority.h"
#include "Serving/HttpHeads.h"
#include "Serving/KeyDigest.h"
#include "Serving/PromptShape.h"

#include <optional>
#include <string>

namespace almondscale {

// Identifies one attempt of a caller.
using CallerRequestId = Identifier<struct CallerRequestIdTag>;

// A decoded request of a caller.
struct CallerRequest {
    CallerRequestId id;
    std::string host;
    // The part that is forwarded with every call to a backend server.
    HttpRequestHead head;
    std::string body;
    // How long the caller waits, if it says so.
    std::optional<Nanoseconds> timeout;
    std::optional<PromptShape> prompt;
    // The id of the last event that the caller received, where it resumes a stream.
    std::string lastEventId;
    // Whether callers have keys, so that the key was decoded and removed from the head.
    bool keyDecoded = false;
    // The caller's key, which is forwarded to no server.
    std::optional<KeyDigest> key = {};
    // The caller sent something in the place of a key, or more than one.
    bool keyMalformed = false;
    // The organisation of the key; empty for an anonymous caller.
    Organisation organisation = {};
    // The organisation's priority, which goes before that of the route.
    std::optional<Priority> priority = {};
};

} // namespace almondscale
