#pragma once

#include "Core/Address.h"
#include "Load/LoadCaller.h"
#include "Load/LoadMix.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace almondscale {

// The options of the load experiment.
struct LoadOptions {
    std::vector<Address> hosts;
    // Where the hosts tell their processor time.
    std::vector<Address> metrics;
    std::vector<Address> directEngines;
    // Where the runs of the bookings are counted.
    std::vector<Address> services;
    CallSettings calls { "model", "booking", std::chrono::seconds(10) };
    LoadMix mix;
    double callsPerSecond = 20;
    Nanoseconds length = std::chrono::seconds(30);
    std::size_t streams = 200;
    std::size_t probes = 300;
    std::uint64_t seed = 1;
    bool help = false;
};

// Reads the options; nothing if one is unknown or not allowed, after telling so on standard error.
std::optional<LoadOptions> parseLoadOptions(int argc, char** argv);

void printLoadUsage();

} // namespace almondscale
