#pragma once

#include "Core/MonotonicTime.h"

#include <cstdint>

namespace almondscale::standin {

// The faults that the stand-in of the platform can be told to have.
struct PlatformFaults {
    bool down = false;
    // The time by which each call is delayed.
    Nanoseconds slow {};
    // The number of writes still to take effect without an answer.
    std::int64_t loseAnswers = 0;
};

} // namespace almondscale::standin
