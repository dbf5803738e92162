#pragma once

#include "Core/MonotonicTime.h"
#include "Shift/Fleet.h"
#include "Shift/Mix.h"

#include <cstdint>
#include <vector>

namespace almondscale {

// One request of a run.
struct Arrival {
    MonotonicTime at {};
    MonotonicTime deadline {};
    int segment = 0;
    int host = 0;
    int prefix = 0;
    int promptTokens = 0;
    int outputTokens = 0;
    int prefixTokens = 0;
};

// The requests that reach the hosts of one data centre for one model.
struct PoolArrivals {
    int dataCentre = 0;
    int model = 0;
    int engines = 0;
    int hosts = 0;
    std::vector<Arrival> arrivals;
};

// Draws the requests of a run: Poisson arrivals, spread over data centres by their engines and evenly over
// hosts.
std::vector<PoolArrivals> drawArrivals(const Mix&, const Fleet&, std::uint64_t seed);

} // namespace almondscale
