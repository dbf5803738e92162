#pragma once

#include "Core/Deadline.h"

namespace almondscale {

// What a stream requires of a decode engine.
struct StreamRequirements {
    // Milliseconds from the send to the first event if a slot is free.
    double firstEventMs = 0;
    // Milliseconds for which the stream occupies its slot.
    double holdMs = 0;
    // The time by which the first event is due.
    Deadline targetTime;
};

} // namespace almondscale
