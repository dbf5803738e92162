#pragma once

#include "Core/MonotonicTime.h"
#include "Core/RandomSource.h"
#include "Routing/RouteCandidate.h"
#include "Routing/RouteRequest.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace almondscale {

// Picks one of the candidates, of which there is at least one, and returns its
// index; nothing if the request should rather wait at the host.
using RoutePolicy = std::function<std::optional<std::size_t>(
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

// The best, by expected completion, of the first engines in the prefix's
// rendezvous order: two, or more for a prefix that a large part of the requests
// has. If all of them are full the request waits; sending it elsewhere would have
// the prefix computed once more, and drive another one out of the cache there.
RoutePolicy prefixAffinity();

} // namespace almondscale
