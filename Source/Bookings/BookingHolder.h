#pragma once

#include "Core/AttemptId.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"

#include <functional>

namespace almondscale {

// The attempt at a booking and the running host that makes it. An attempt id is never used twice.
struct BookingHolder {
    AttemptId attempt;
    HostId host;
    Incarnation incarnation;
};

// Tells whether that run of a host is still a member. A wrong answer never
// makes a booking run twice; it only makes an answer less exact.
using HolderLivenessCheck = std::function<bool(const HostId&, Incarnation)>;

} // namespace almondscale
