#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// How usage is reported.
struct UsageBounds {
    // Length of a window. Window k begins k times this length after the start of 1970, in true time.
    Nanoseconds window = std::chrono::seconds(5);
    // Time from the end of a window within which its report is due.
    Nanoseconds due = std::chrono::seconds(10);
};

} // namespace almondscale
