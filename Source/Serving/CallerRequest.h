#pragma once

#include "Core/Identifier.h"
#include "Core/MonotonicTime.h"
#include "Serving/HttpHeads.h"
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
};

} // namespace almondscale
