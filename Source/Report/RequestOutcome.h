#pragma once

#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"
#include "Core/Organisation.h"
#include "Report/WallTime.h"

namespace almondscale {

// The outcome of a request with respect to its service level. Invalid requests and requests that
// exceed a limit are not reported.
struct RequestOutcome {
    ModelName model;
    Organisation organisation;
    WallTime finishedAt;
    // Whether the complete answer was available before the deadline.
    bool completeInTime = false;
    // Time to the first token. This and tokenGap keep their maximum if no token was produced.
    Nanoseconds firstToken = Nanoseconds::max();
    // Mean time between tokens of the answer; zero for an answer of one token.
    Nanoseconds tokenGap = Nanoseconds::max();
};

} // namespace almondscale
