#pragma once

#include "Core/DataCentre.h"
#include "Serving/PoolSpec.h"

#include <map>

namespace almondscale {

// The servers of a service in one data centre, by kind.
struct PoolCount {
    int reserved = 0;
    int spot = 0;

    int total() const { return reserved + spot; }
    int& of(bool isSpot) { return isSpot ? spot : reserved; }
    int of(bool isSpot) const { return isSpot ? spot : reserved; }
    friend bool operator==(const PoolCount& a, const PoolCount& b)
    {
        return a.reserved == b.reserved && a.spot == b.spot;
    }
};

using PoolMix = std::map<DataCentre, PoolCount>;

// The numbers of servers that a pool must not fall below.
struct PoolNeeds {
    // With all servers.
    int normal = 0;
    // Without the spot servers of any one data centre, and of any two.
    int oneLost = 0;
    int twoLost = 0;
    // Reserved servers, of which at most half are counted in one data centre.
    int reserved = 0;
    // Of both kinds in each data centre.
    std::map<DataCentre, int> perDataCentre;
};

// How far the pool is below its needs, summed over all of them; 0 if it meets them.
int poolShortfall(const PoolMix&, const PoolNeeds&);
double poolPricePerSecond(const PoolMix&, const PoolSpec&);
double serverPricePerSecond(const PoolSpec&, const DataCentre&, bool spot);

// Adds the servers to `from` that meet the needs at the lowest price, without exceeding `most`. If the needs
// cannot be met, the result comes as close as possible.
PoolMix growPool(
    const PoolSpec&, const PoolNeeds&, const PoolMix& from, const PoolMix& most, int maxPerDataCentre);
// Removes servers that are not needed, the most expensive first, without falling below `least`.
PoolMix prunePool(const PoolSpec&, const PoolNeeds&, const PoolMix& from, const PoolMix& least = {});

} // namespace almondscale
