#pragma once

#include "Core/Identifier.h"
#include "Core/MonotonicTime.h"
#include "Serving/HttpHeads.h"
#include "Serving/PromptShape.h"

#include <optional>
#include <string>

namespace almondscale {

// Names one attempt of a caller.
using CallerRequestId = Identifier<struct CallerRequestIdTag>;

// One request of a caller, decoded.
struct CallerRequest {
    CallerRequestId id;
    std::string host;
    // What is passed on to a backend server whatever it is used for.
    HttpRequestHead head;
    std::string body;
    // How long the caller waits, if it says so.
    std::optional<Nanoseconds> timeout;
    std::optional<PromptShape> prompt;
    // The last event of an earlier answer that the caller has.
    std::string lastEventId;
};

} // namespace almondscale
