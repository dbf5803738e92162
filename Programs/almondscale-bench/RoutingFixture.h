#pragma once

#include "Routing/RoutePolicy.h"
#include "Routing/RouterOptions.h"

#include <cstdint>

namespace almondscale {

// A routing experiment: how many hosts send what to how many engines.
struct RoutingExperiment {
    int hosts = 8;
    int engines = 18;
    double requestsPerSecond = 120;
    int prefixes = 60;
    // The part of the requests that have one and the same prefix.
    double hotShare = 0;
    Nanoseconds length = std::chrono::seconds(60);
    Nanoseconds deadline = std::chrono::seconds(2);
    // Engines are sampled at this interval and the report arrives so much later.
    Nanoseconds reportInterval = std::chrono::milliseconds(250);
    Nanoseconds reportLag = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;
};

// What came of it.
struct RoutingFigures {
    int sent = 0;
    int inTime = 0;
    Nanoseconds firstTokenMedian {};
    Nanoseconds firstTokenP99 {};
    // Of the requests that reached an engine.
    double prefillPerRequest = 0;
};

// Runs the experiment with the real router under a fake clock. The arrivals
// depend on the experiment only, not on the policy.
RoutingFigures runRouting(const RoutingExperiment&, const RoutePolicy&, const RouterOptions&);

} // namespace almondscale
