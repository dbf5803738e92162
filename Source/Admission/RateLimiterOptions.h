#pragma once

#include "Core/MonotonicTime.h"

#include <chrono>

namespace almondscale {

// Bounds of the sharing of limits among hosts.
struct RateLimiterOptions {
    // A host reports an organisation whose demand exceeds this part of its share.
    double reportThreshold = 0.7;
    // Below this part of the limit an organisation's shares become equal again.
    double releaseThreshold = 0.5;
    Nanoseconds releaseDelay = std::chrono::seconds(30);
    // The part of the limit that is spread evenly, so that a host without demand
    // can take the first requests of a new caller.
    double evenFraction = 0.02;
    // A share is changed only by more than this part of the equal share.
    double minChange = 0.05;
    // Reports without news, and grants without an answer, are repeated after this.
    Nanoseconds retransmitInterval = std::chrono::seconds(5);
    // The coordinator lends reporting hosts a few requests, and asks nobody else, until
    // the demand that they report exceeds this part of the limit.
    double loanThreshold = 0.05;
    Nanoseconds loanExpiry = std::chrono::seconds(10);
    // What a host lets through at once: this many seconds of its share.
    double burstSeconds = 1;
    // With less, the share of a host that gets a request only now and then would
    // go unused between them.
    double lowRateBurstSeconds = 20;
    double maxLowRateBurst = 10;
    double minBurst = 3;
};

} // namespace almondscale
