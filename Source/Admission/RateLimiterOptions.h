#pragma once

#include "Core/MonotonicTime.h"

#include <chrono>

namespace almondscale {

// Bounds of the sharing of limits among hosts.
struct RateLimiterOptions {
    // A host reports an organisation whose demand exceeds this part of its share.
    double nearLimit = 0.7;
    // Below this part of the limit an organisation's shares become equal again.
    double farBelowLimit = 0.5;
    Nanoseconds farBelowTime = std::chrono::seconds(30);
    // The part of the limit that is spread evenly, so that a host without demand
    // can take the first requests of a new caller.
    double spreadEvenly = 0.02;
    // A share is changed only by more than this part of the equal share.
    double leastChange = 0.05;
    // Reports without news, and grants without an answer, are repeated after this.
    Nanoseconds repeatAfter = std::chrono::seconds(5);
    // The coordinator lends reporting hosts a few requests, and asks nobody else, until
    // the demand that they report exceeds this part of the limit.
    double lendBelow = 0.05;
    Nanoseconds lendingTime = std::chrono::seconds(10);
    // What a host lets through at once: this many seconds of its share.
    double burstSeconds = 1;
    // With less, the share of a host that gets a request only now and then would
    // go unused between them.
    double slowBurstSeconds = 20;
    double mostSlowBurst = 10;
    double leastBurst = 3;
};

} // namespace almondscale
