#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace almondscale;

namespace {

// Share of the engines that the load keeps busy.
constexpr double utilisation = 0.6;
constexpr std::uint64_t seeds = 6;

double runRoleSplit(const SimulatedFleetSpec& spec) { return SimulatedFleet(spec, 1).simulate(std::nullopt); }

// A constant share of decode engines, tuned for a single fleet.
double runFixedShare(const SimulatedFleetSpec& spec)
{
    const int share = std::max(spec.engines >= 6 ? 2 : 1, static_cast<int>(std::lround(spec.engines * 0.22)));
    return SimulatedFleet(spec, 1).simulate(share);
}

double runBestFixedSplit(const SimulatedFleetSpec& spec)
{
    double best = 0;
    const int step = std::max(1, spec.engines / 10);
    for (int decode = 1; decode < spec.engines; decode += step)
        best = std::max(best, SimulatedFleet(spec, 1).simulate(decode));
    return best;
}

// A fleet drawn by seed, with one traffic mix or with a different one in the second half.
SimulatedFleetSpec fleetOf(std::uint64_t seed, bool changing)
{
    auto spec = drawFleet(seed, utilisation);
    if (!changing)
        spec.laterTypes.clear();
    return spec;
}

} // namespace

TEST_CASE("Fleets drawn by seed, split by what is seen, are served in time far more often than by one share")
{
    for (const bool changing : { false, true }) {
        double adaptive = 0;
        double fixedShare = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto spec = fleetOf(seed, changing);
            adaptive += runRoleSplit(spec) / seeds;
            fixedShare += runFixedShare(spec) / seeds;
        }
        CAPTURE(changing, adaptive, fixedShare);
        CHECK(adaptive > fixedShare + 0.2);
    }
}

TEST_CASE(
    "Fleets drawn by seed, split by what is seen, are served nearly as well as by their best fixed split")
{
    for (const bool changing : { false, true }) {
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto spec = fleetOf(seed, changing);
            const double adaptive = runRoleSplit(spec);
            const double bestFixed = runBestFixedSplit(spec);
            const double ratio = adaptive / bestFixed;
            CAPTURE(changing, seed, adaptive, bestFixed);
            CHECK(ratio >= 0.85);
            sum += ratio;
        }
        CHECK(sum / seeds >= 0.95);
    }
}
