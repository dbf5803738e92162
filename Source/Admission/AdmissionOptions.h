#pragma once

#include "Core/ByteCount.h"
#include "Core/MonotonicTime.h"

#include <chrono>
#include <cstddef>

namespace almondscale {

// Bounds of the queue of one model pool at one host.
struct AdmissionOptions {
    std::size_t maxRequests = 2000;
    ByteCount maxBytes { 64LL * 1024 * 1024 };
    // The part of the work that is shared evenly by all priorities that wait;
    // the rest goes to the highest.
    double fairShare = 0.2;
    // Estimates are multiplied by this before they are held against a deadline.
    double safetyFactor = 1.1;
    // The rate at which work is taken until it has been observed, in seconds of work a second.
    double initialWorkPerSecond = 1;
    // A refused caller is told to come back no sooner and no later than this.
    Nanoseconds minRetryAfter = std::chrono::milliseconds(200);
    Nanoseconds maxRetryAfter = std::chrono::seconds(30);
};

} // namespace almondscale
