#pragma once

#include "Core/AttemptId.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"

#include <functional>

namespace almondscale {

// An attempt at a booking and the host incarnation that makes it. Attempt ids are never reused.
struct BookingHolder {
    AttemptId attempt;
    HostId host;
    Incarnation incarnation;
};

// Returns whether this incarnation of the host is still a member. A wrong result never makes a
// booking run twice; it only makes the result for a repeated key less precise.
using HolderLivenessCheck = std::function<bool(const HostId&, Incarnation)>;

} // namespace almondscale
