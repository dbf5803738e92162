#include "Shift/Arrival.h"

#include "Core/RandomSource.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    // The number of different shared prompt beginnings in a pool.
    constexpr std::uint64_t prefixFamilies = 6;

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    Nanoseconds nanoseconds(double seconds)
    {
        return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(seconds));
    }

    Arrival makeArrival(
        const MixSegment& segment, int index, int hosts, Nanoseconds at, const RandomSource& random)
    {
        Arrival arrival;
        arrival.at = MonotonicTime(at);
        arrival.deadline = arrival.at + segment.deadline;
        arrival.segment = index;
        arrival.host = static_cast<int>(uniformBelow(random, static_cast<std::uint64_t>(hosts)));
        arrival.prefix = static_cast<int>(uniformBelow(random, prefixFamilies));
        arrival.promptTokens = static_cast<int>(segment.promptTokens.count());
        arrival.outputTokens = static_cast<int>(segment.outputTokens.count());
        arrival.prefixTokens = static_cast<int>(std::floor(arrival.promptTokens * segment.sharedPrefix));
        return arrival;
    }

    void drawSegment(
        PoolArrivals& pool, const MixSegment& segment, int index, double rate, const RandomSource& random)
    {
        const double length = seconds(segment.length);
        double at = 0;
        while (rate > 0) {
            at -= std::log(1 - uniform(random)) / rate;
            if (at >= length)
                return;
            pool.arrivals.push_back(
                makeArrival(segment, index, pool.hosts, segment.start + nanoseconds(at), random));
        }
    }

} // namespace

std::vector<PoolArrivals> drawArrivals(const Mix& mix, const Fleet& fleet, std::uint64_t seed)
{
    const auto random = seededRandom(seed);
    std::vector<PoolArrivals> pools;
    const int models = mix.models();
    for (int model = 0; model < models; ++model) {
        int modelEngines = 0;
        for (int dataCentre = 0; dataCentre < fleet.dataCentres; ++dataCentre)
            modelEngines += fleet.enginesIn(dataCentre, model, models);
        for (int dataCentre = 0; dataCentre < fleet.dataCentres; ++dataCentre) {
            PoolArrivals pool;
            pool.dataCentre = dataCentre;
            pool.model = model;
            pool.engines = fleet.enginesIn(dataCentre, model, models);
            pool.hosts = fleet.hostsIn(dataCentre);
            for (std::size_t i = 0; i < mix.segments.size(); ++i) {
                const auto& segment = mix.segments[i];
                if (segment.model != model)
                    continue;
                const double rate = segment.requestsPerSecond * pool.engines / modelEngines;
                drawSegment(pool, segment, static_cast<int>(i), rate, random);
            }
            pools.push_back(std::move(pool));
        }
    }
    return pools;
}

} // namespace almondscale
