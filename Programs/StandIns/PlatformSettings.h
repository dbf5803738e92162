#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale::standin {

// What the stand-in of the platform allows.
struct PlatformSettings {
    double readsPerSecond = 2000;
    double writesPerSecond = 500;
    // How long the list of hosts lags behind what was set.
    Nanoseconds hostLag = std::chrono::seconds(2);
};

} // namespace almondscale::standin
