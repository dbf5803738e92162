#pragma once

#include "Core/Address.h"

namespace almondscale {

// The calls to the platform that one host at a time makes for all.
struct DutySettings {
    Address address;
    // Usage of each window is to be reported.
    bool usageReports = false;
    // The number of servers of a service is to be ordered.
    bool poolOrders = false;
    // Calls per second that the platform accepts from all hosts together.
    double callsPerSecond = 1;
};

} // namespace almondscale
