#pragma once

#include "Core/Deadline.h"

namespace almondscale {

// What a stream needs of an engine that decodes it.
struct StreamNeeds {
    // Milliseconds from the send to the first event where a place is free.
    double firstEventMs = 0;
    // Milliseconds for which it holds its place.
    double holdMs = 0;
    // When the first event is in time.
    Deadline targetTime;
};

} // namespace almondscale
