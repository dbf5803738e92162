#pragma once

#include "Core/MonotonicTime.h"
#include "Core/RandomSource.h"
#include "Routing/RouteCandidate.h"
#include "Routing/RouteRequest.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace almondscale {

// Picks one of the candidates, of which there is at least one, and returns its index.
using RoutePolicy = std::function<std::size_t(
    const std::vector<RouteCandidate>&, const RouteRequest&, const RandomSource&)>;

// Each engine in turn. A baseline.
RoutePolicy roundRobin();

// The engine with the fewest requests in its last report. A baseline.
RoutePolicy leastReportedLoad();

// The engine with the earliest expected completion.
RoutePolicy shortestExpectedWork();

// The better of two engines drawn at random, by expected completion.
RoutePolicy powerOfTwoChoices();

// The first engine in the prefix's rendezvous order whose wait is at most the
// mean wait of all candidates plus the slack.
RoutePolicy boundedRendezvous(Nanoseconds slack);

// The better, by expected completion, of the engines that hold the prefix and
// of two engines drawn at random.
RoutePolicy prefixOrTwoChoices();

} // namespace almondscale
