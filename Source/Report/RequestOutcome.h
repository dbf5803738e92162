#pragma once

#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"
#include "Core/Organisation.h"
#include "Report/WallTime.h"

namespace almondscale {

// How a request ended, as far as its service level is concerned. Requests that
// the caller got wrong, or that break a limit, are not reported.
struct RequestOutcome {
    ModelName model;
    Organisation organisation;
    WallTime finishedAt;
    // Whether the whole answer was there before the deadline.
    bool completeInTime = false;
    // Of a request that got no token both are left at their greatest value.
    Nanoseconds firstToken = Nanoseconds::max();
    // The mean over the answer; zero for an answer of one token.
    Nanoseconds tokenGap = Nanoseconds::max();
};

} // namespace almondscale
