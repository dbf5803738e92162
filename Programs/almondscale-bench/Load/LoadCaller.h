#pragma once

#include "Core/Address.h"
#include "Load/CallOutcome.h"
#include "Load/PlannedCall.h"

#include <string>

namespace almondscale {

// What the calls of a run have in common.
struct CallSettings {
    std::string model;
    std::string service;
    Nanoseconds deadline = std::chrono::seconds(10);
};

// Sends one call and checks the whole answer. The times count from when the call
// was planned, so that a late sender is not taken for a quick answer.
CallOutcome sendCall(
    const PlannedCall&, const MixLine&, const CallSettings&, const Address& host, MonotonicTime plannedAt);

} // namespace almondscale
