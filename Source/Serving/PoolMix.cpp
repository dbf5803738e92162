#include "Serving/PoolMix.h"

#include <algorithm>
#include <vector>

namespace almondscale {

namespace {

    // The pool as a list, since the search for the cheapest pool looks at it many times.
    struct Entry {
        DataCentre dataCentre;
        PoolCount count;
        int least = 0;
    };

    using Entries = std::vector<Entry>;

    struct Kind {
        std::size_t entry = 0;
        bool spot = false;
        double price = 0;
    };

    Entries entriesOf(const PoolMix& mix, const PoolNeeds& needs)
    {
        Entries entries;
        for (const auto& [dataCentre, count] : mix) {
            const auto least = needs.perDataCentre.find(dataCentre);
            entries.push_back({ dataCentre, count, least == needs.perDataCentre.end() ? 0 : least->second });
        }
        return entries;
    }

    PoolMix mixOf(const Entries& entries)
    {
        PoolMix mix;
        for (const auto& entry : entries)
            mix[entry.dataCentre] = entry.count;
        return mix;
    }

    // In ascending order of price.
    std::vector<Kind> kindsByPrice(const Entries& entries, const PoolSpec& spec)
    {
        std::vector<Kind> kinds;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            for (const bool spot : { false, true })
                kinds.push_back({ i, spot, serverPricePerSecond(spec, entries[i].dataCentre, spot) });
        }
        std::stable_sort(
            kinds.begin(), kinds.end(), [](const Kind& a, const Kind& b) { return a.price < b.price; });
        return kinds;
    }

    int shortfallOf(const Entries& entries, const PoolNeeds& needs)
    {
        int total = 0;
        int reserved = 0;
        int shortfall = 0;
        const int maxCounted = entries.size() > 1 ? (needs.reserved + 1) / 2 : needs.reserved;
        for (const auto& entry : entries) {
            total += entry.count.total();
            reserved += std::min(entry.count.reserved, maxCounted);
            shortfall += std::max(0, entry.least - entry.count.total());
        }
        shortfall += std::max(0, needs.normal - total) + std::max(0, needs.reserved - reserved);
        for (std::size_t first = 0; first < entries.size(); ++first) {
            const int left = total - entries[first].count.spot;
            shortfall += std::max(0, needs.oneLost - left);
            for (std::size_t second = first + 1; second < entries.size(); ++second)
                shortfall += std::max(0, needs.twoLost - (left - entries[second].count.spot));
        }
        return shortfall;
    }

    PoolCount boundOf(const PoolMix& bounds, const Entry& entry, const PoolCount& otherwise)
    {
        const auto bound = bounds.find(entry.dataCentre);
        return bound == bounds.end() ? otherwise : bound->second;
    }

    void prune(Entries& entries, std::vector<Kind> kinds, const PoolNeeds& needs, const PoolMix& least)
    {
        std::reverse(kinds.begin(), kinds.end());
        const int shortfall = shortfallOf(entries, needs);
        for (const auto& kind : kinds) {
            const int lowest = boundOf(least, entries[kind.entry], {}).of(kind.spot);
            auto& count = entries[kind.entry].count.of(kind.spot);
            while (count > lowest) {
                --count;
                if (shortfallOf(entries, needs) > shortfall) {
                    ++count;
                    break;
                }
            }
        }
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
    return shortfallOf(entriesOf(mix, needs), needs);
}

PoolMix growPool(const PoolSpec& spec, const PoolNeeds& needs, const PoolMix& from, const PoolMix& most,
    int maxPerDataCentre)
{
    auto entries = entriesOf(from, needs);
    const auto kinds = kindsByPrice(entries, spec);
    std::vector<PoolCount> bounds;
    for (const auto& entry : entries)
        bounds.push_back(boundOf(most, entry, { maxPerDataCentre, maxPerDataCentre }));
    int shortfall = shortfallOf(entries, needs);
    while (shortfall > 0) {
        const Kind* best = nullptr;
        double bestGain = 0;
        int bestSpot = 0;
        for (const auto& kind : kinds) {
            auto& count = entries[kind.entry].count;
            if (count.total() >= maxPerDataCentre || count.of(kind.spot) >= bounds[kind.entry].of(kind.spot))
                continue;
            ++count.of(kind.spot);
            const double gain = (shortfall - shortfallOf(entries, needs)) / kind.price;
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
        ++entries[best->entry].count.of(best->spot);
        shortfall = shortfallOf(entries, needs);
    }
    prune(entries, kinds, needs, from);
    return mixOf(entries);
}

PoolMix prunePool(const PoolSpec& spec, const PoolNeeds& needs, const PoolMix& from, const PoolMix& least)
{
    auto entries = entriesOf(from, needs);
    prune(entries, kindsByPrice(entries, spec), needs, least);
    return mixOf(entries);
}

} // namespace almondscale
