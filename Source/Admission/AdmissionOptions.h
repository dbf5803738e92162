#pragma once

#include "Core/ByteCount.h"
#include "Core/MonotonicTime.h"

#include <chrono>
#include <cstddef>

namespace almondscale {

// Parameters of the queue of one model pool at one host.
struct AdmissionOptions {
    std::size_t maxRequests = 2000;
    ByteCount maxBytes { 64LL * 1024 * 1024 };
    // The fraction of the capacity divided evenly among all waiting priorities. The rest goes to
    // the highest waiting priority.
    double fairShare = 0.2;
    // Estimated times are multiplied by this before the comparison with the deadline.
    double safetyFactor = 1.1;
    // The assumed throughput until it has been measured, in seconds of work per second.
    double initialWorkPerSecond = 1;
    // The bounds of the retry time given to a refused caller.
    Nanoseconds minRetryAfter = std::chrono::milliseconds(200);
    Nanoseconds maxRetryAfter = std::chrono::seconds(30);
};

} // namespace almondscale
