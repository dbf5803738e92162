#include "Serving/PoolMix.h"

#include <algorithm>
#include <vector>

namespace almondscale {

namespace {

    struct Kind {
        DataCentre dataCentre;
        bool spot = false;
        double price = 0;
    };

    // In ascending order of price.
    std::vector<Kind> kindsByPrice(const PoolMix& mix, const PoolSpec& spec)
    {
        std::vector<Kind> kinds;
        for (const auto& entry : mix) {
            for (const bool spot : { false, true })
                kinds.push_back({ entry.first, spot, serverPricePerSecond(spec, entry.first, spot) });
        }
        std::stable_sort(
            kinds.begin(), kinds.end(), [](const Kind& a, const Kind& b) { return a.price < b.price; });
        return kinds;
    }

} // namespace

double serverPricePerSecond(const PoolSpec& spec, const DataCentre& dataCentre, bool spot)
{
    const auto price = spec.prices.find(dataCentre);
    return (price == spec.prices.end() ? 1 : price->second) * (spot ? spec.spotPrice.value_or(1) : 1);
}

double poolPricePerSecond(const PoolMix& mix, const PoolSpec& spec)
{
    double price = 0;
    for (const auto& [dataCentre, count] : mix) {
        price += count.reserved * serverPricePerSecond(spec, dataCentre, false)
            + count.spot * serverPricePerSecond(spec, dataCentre, true);
    }
    return price;
}

int poolShortfall(const PoolMix& mix, const PoolNeeds& needs)
{
    int total = 0;
    int reserved = 0;
    int shortfall = 0;
    const int maxCounted = (needs.reserved + 1) / 2;
    for (const auto& [dataCentre, count] : mix) {
        total += count.total();
        reserved += mix.size() > 1 ? std::min(count.reserved, maxCounted) : count.reserved;
        const auto least = needs.perDataCentre.find(dataCentre);
        if (least != needs.perDataCentre.end())
            shortfall += std::max(0, least->second - count.total());
    }
    shortfall += std::max(0, needs.normal - total) + std::max(0, needs.reserved - reserved);
    for (auto first = mix.begin(); first != mix.end(); ++first) {
        const int left = total - first->second.spot;
        shortfall += std::max(0, needs.oneLost - left);
        for (auto second = std::next(first); second != mix.end(); ++second)
            shortfall += std::max(0, needs.twoLost - (left - second->second.spot));
    }
    return shortfall;
}

PoolMix growPool(const PoolSpec& spec, const PoolNeeds& needs, const PoolMix& from, const PoolMix& most,
    int maxPerDataCentre)
{
    auto mix = from;
    const auto kinds = kindsByPrice(mix, spec);
    int shortfall = poolShortfall(mix, needs);
    while (shortfall > 0) {
        const Kind* best = nullptr;
        double bestGain = 0;
        int bestSpot = 0;
        for (const auto& kind : kinds) {
            auto& count = mix[kind.dataCentre];
            const auto bound = most.find(kind.dataCentre);
            if (count.total() >= maxPerDataCentre
                || (bound != most.end() && count.of(kind.spot) >= bound->second.of(kind.spot)))
                continue;
            ++count.of(kind.spot);
            const double gain = (shortfall - poolShortfall(mix, needs)) / kind.price;
            --count.of(kind.spot);
            // Equal gains go to the data centre with the fewest spot servers, since a reclaim takes them all.
            if (gain > 0 && (gain > bestGain || (gain == bestGain && count.spot < bestSpot))) {
                best = &kind;
                bestGain = gain;
                bestSpot = count.spot;
            }
        }
        if (!best)
            break;
        ++mix[best->dataCentre].of(best->spot);
        shortfall = poolShortfall(mix, needs);
    }
    return prunePool(spec, needs, mix, from);
}

PoolMix prunePool(const PoolSpec& spec, const PoolNeeds& needs, PoolMix from, const PoolMix& least)
{
    auto kinds = kindsByPrice(from, spec);
    std::reverse(kinds.begin(), kinds.end());
    int shortfall = poolShortfall(from, needs);
    for (const auto& kind : kinds) {
        const auto bound = least.find(kind.dataCentre);
        const int lowest = bound == least.end() ? 0 : bound->second.of(kind.spot);
        auto& count = from[kind.dataCentre].of(kind.spot);
        while (count > lowest) {
            --count;
            if (poolShortfall(from, needs) > shortfall) {
                ++count;
                break;
            }
        }
    }
    return from;
}

} // namespace almondscale
