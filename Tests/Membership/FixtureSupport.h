#pragma once

#include "ControlFixture.h"

#include <cstddef>
#include <string>
#include <vector>

namespace almondscale {

inline HostId hostNumber(int number) { return HostId("h" + std::to_string(number)); }

inline Address addressNumber(int number) { return { "10.0.0." + std::to_string(number), 7000 }; }

// Assigns hosts to the data centres round-robin.
inline DataCentre dataCentreNumber(int number, int dataCentres)
{
    return DataCentre("dc" + std::to_string(number % dataCentres));
}

// Starts hosts 0 to N-1 with all of them as seed hosts of each other.
inline void startHosts(ControlFixture& fixture, int hosts, int dataCentres)
{
    std::vector<SeedHost> seeds;
    seeds.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i)
        seeds.push_back({ hostNumber(i), addressNumber(i), dataCentreNumber(i, dataCentres) });
    fixture.seeds(seeds);
    for (const auto& seed : seeds)
        fixture.start(seed.host, seed.address, seed.dataCentre);
}

// Runs until the hosts have converged or the limit has passed. Returns whether they have converged.
inline bool runUntilConverged(ControlFixture& fixture, Nanoseconds limit)
{
    const auto end = fixture.now() + limit;
    while (!fixture.converged() && fixture.now() < end)
        fixture.run(std::chrono::milliseconds(100));
    return fixture.converged();
}

} // namespace almondscale
