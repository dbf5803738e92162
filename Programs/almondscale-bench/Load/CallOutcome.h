#pragma once

#include "Core/MonotonicTime.h"

#include <optional>
#include <string>

namespace almondscale {

// What a caller got for one call.
struct CallOutcome {
    enum class Kind {
        Complete,
        Refused,
        // No answer, a wrong one or a part of one.
        Failed,
    };

    Kind kind = Kind::Failed;
    bool inTime = false;
    // From the planned time of the call.
    std::optional<Nanoseconds> firstToken;
    // For a refusal: its kind and what it says about the run.
    std::string refusal;
    std::string run;
    // For a failure: what was wrong.
    std::string fault;
};

} // namespace almondscale
