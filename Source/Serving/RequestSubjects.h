#pragma once

#include "Serving/CallerRequest.h"
#include "Serving/CrashSubject.h"

#include <optional>
#include <vector>

namespace almondscale {

// What the crash of a server that ran a request may be due to.
struct RequestSubjects {
    Fingerprint content;
    // The parts of the prompt that other requests may have too, each once.
    std::vector<PromptPartId> sharedParts;
    // The last part, which belongs to the request or its session alone.
    std::optional<PromptPartId> ownPart;
};

RequestSubjects subjectsOf(const CallerRequest&);

} // namespace almondscale
