#pragma once

#include "Core/ServiceName.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace almondscale {

// What one or more hosts report about their traffic, so that hosts can share the limits of servers.
struct FleetTraffic {
    // Number of hosts included.
    int hosts = 0;
    // Requests of callers per second, by service.
    std::map<ServiceName, double> requestRates;
    // Requests recently sent to each server that has a limit, by the hash of the server's id.
    std::unordered_map<std::uint64_t, int> limitedSends;

    FleetTraffic& operator+=(const FleetTraffic& other) { return add(other, 1); }
    FleetTraffic& operator-=(const FleetTraffic& other) { return add(other, -1); }

private:
    FleetTraffic& add(const FleetTraffic& other, int sign)
    {
        hosts += sign * other.hosts;
        for (const auto& entry : other.requestRates)
            requestRates[entry.first] += sign * entry.second;
        for (const auto& entry : other.limitedSends)
            limitedSends[entry.first] += sign * entry.second;
        return *this;
    }
};

} // namespace almondscale
