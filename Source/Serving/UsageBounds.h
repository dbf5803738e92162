#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/UsageWindow.h"
#include "Serving/WallTime.h"

namespace almondscale {

// How usage is reported.
struct UsageBounds {
    // Length of a window. Window k begins k times this length after the start of 1970, in true time.
    Nanoseconds window = std::chrono::seconds(5);
    // Time from the end of a window within which its report is due.
    Nanoseconds due = std::chrono::seconds(10);

    UsageWindow windowAt(WallTime time) const { return UsageWindow(time.time_since_epoch() / window); }
    WallTime endOf(UsageWindow k) const { return WallTime((k.count() + 1) * window); }
};

} // namespace almondscale
