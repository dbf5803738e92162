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

// Returns the index of the chosen candidate, or nothing if the request should stay queued at the
// host. There is at least one candidate.
using RoutePolicy = std::function<std::optional<std::size_t>(
    const std::vector<RouteCandidate>&, const RouteRequest&, const RandomSource&)>;

// Round robin. Used as a baseline.
RoutePolicy roundRobin();

// The engine with the fewest requests in its last report. Used as a baseline.
RoutePolicy leastReportedLoad();

// The engine with the earliest expected completion.
RoutePolicy shortestExpectedWork();

// Of two randomly chosen engines, the one with the earlier expected completion.
RoutePolicy powerOfTwoChoices();

// Rendezvous hashing with bounded load: the first engine in the rendezvous order of the prefix
// whose wait is at most the mean wait of all candidates plus the slack.
RoutePolicy boundedRendezvous(Nanoseconds slack);

// The engine with the earliest expected completion among those that have cached the prefix and two
// randomly chosen ones.
RoutePolicy prefixOrTwoChoices();

// The engine with the earliest expected completion among the first engines in the rendezvous order
// of the prefix: two, or more for a prefix common to a large fraction of the requests. If all of
// these are full, the request stays queued; another engine would compute the prefix again and evict
// a different one from its cache.
RoutePolicy prefixAffinity();

} // namespace almondscale
