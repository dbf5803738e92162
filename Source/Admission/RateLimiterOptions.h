#pragma once

#include "Core/MonotonicTime.h"

#include <chrono>

namespace almondscale {

// Parameters of a DistributedRateLimiter.
struct RateLimiterOptions {
    // A host whose bucket is exhausted reports an organisation whose demand exceeds this fraction
    // of the host's share.
    double reportThreshold = 0.7;
    // The shares of an organisation become equal again once its demand has been below this fraction
    // of the limit for the release delay.
    double releaseThreshold = 0.5;
    Nanoseconds releaseDelay = std::chrono::seconds(30);
    // The fraction of the limit that is divided evenly, so that a host without demand can admit the
    // first requests of a new caller.
    double evenFraction = 0.02;
    // The minimum change of a share, as a fraction of the equal share.
    double minChange = 0.05;
    // Unchanged reports and unanswered grants are sent again after this time.
    Nanoseconds retransmitInterval = std::chrono::seconds(5);
    // Below this fraction of the limit in reported demand, the coordinator only sends loans to the
    // reporting hosts and does not query the others.
    double loanThreshold = 0.05;
    Nanoseconds loanExpiry = std::chrono::seconds(10);
    // The burst size, in seconds of the host's share.
    double burstSeconds = 1;
    // The larger burst of hosts with a small share, in seconds of the share, and its maximum in
    // requests. Without it the share of a host that rarely gets requests would be lost between
    // them.
    double lowRateBurstSeconds = 20;
    double maxLowRateBurst = 10;
    double minBurst = 3;
};

} // namespace almondscale
