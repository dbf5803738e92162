#include "PlayedFleet.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace almondscale;

namespace {

// The part of its engines that a fleet's load keeps busy.
constexpr double busyPart = 0.6;
constexpr std::uint64_t seeds = 6;

double playFollowing(const PlayedFleetSpec& spec) { return PlayedFleet(spec, 1).play(std::nullopt); }

// The share of decode engines that was fixed for one fleet.
double playOneShare(const PlayedFleetSpec& spec)
{
    const int share = std::max(spec.engines >= 6 ? 2 : 1, static_cast<int>(std::lround(spec.engines * 0.22)));
    return PlayedFleet(spec, 1).play(share);
}

double playBestFixed(const PlayedFleetSpec& spec)
{
    double best = 0;
    const int step = std::max(1, spec.engines / 10);
    for (int decode = 1; decode < spec.engines; decode += step)
        best = std::max(best, PlayedFleet(spec, 1).play(decode));
    return best;
}

// A fleet drawn by seed, with one mix, or with another one in the second half.
PlayedFleetSpec fleetOf(std::uint64_t seed, bool moving)
{
    auto spec = drawFleet(seed, busyPart);
    if (!moving)
        spec.laterKinds.clear();
    return spec;
}

} // namespace

TEST_CASE("Fleets drawn by seed, split by what is seen, are served in time far more often than by one share")
{
    for (const bool moving : { false, true }) {
        double following = 0;
        double oneShare = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto spec = fleetOf(seed, moving);
            following += playFollowing(spec) / seeds;
            oneShare += playOneShare(spec) / seeds;
        }
        CAPTURE(moving, following, oneShare);
        CHECK(following > oneShare + 0.2);
    }
}

TEST_CASE(
    "Fleets drawn by seed, split by what is seen, are served nearly as well as by their best fixed split")
{
    for (const bool moving : { false, true }) {
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto spec = fleetOf(seed, moving);
            const double following = playFollowing(spec);
            const double bestFixed = playBestFixed(spec);
            const double ratio = following / bestFixed;
            CAPTURE(moving, seed, following, bestFixed);
            CHECK(ratio >= 0.85);
            sum += ratio;
        }
        CHECK(sum / seeds >= 0.95);
    }
}
