#include "Serving/EngineSpeeds.h"

#include "Core/RandomSource.h"
#include "ServingFixtures.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

// Engines with a fixed cost of 50 ms per request that prefill 25 tokens per millisecond. One prefill in five
// runs on a server that is four times slower.
class EngineSpeedsFixture {
public:
    void simulate(EngineSpeeds& speeds, int prefills)
    {
        for (int i = 0; i < prefills; ++i) {
            const auto prompt = TokenCount(100 + static_cast<std::int64_t>(uniformBelow(random, 8000)));
            const auto cached = TokenCount(uniformBelow(random, 2) == 0 ? 0 : 50);
            const double ahead = uniformBelow(random, 3) == 0 ? 200 * uniform(random) : 0;
            double taken = 50 + static_cast<double>((prompt - cached).count()) / 25 + 0.8 * ahead;
            taken *= uniformBelow(random, 5) == 0 ? 4 : 1 + 0.1 * uniform(random);
            speeds.notePrefill(model, { prompt, cached, ahead, taken });
        }
    }

    static double expectedMs(const EngineSpeeds& speeds, std::int64_t tokens)
    {
        return speeds.speedOf(model).prefillMs(TokenCount(tokens), TokenCount(0));
    }

    RandomSource random = seededRandom(7);
};

} // namespace

TEST_CASE_METHOD(EngineSpeedsFixture,
    "Speed of engines unlike the default, after some dozens of prefills, is close to theirs despite slow "
    "servers")
{
    EngineSpeeds speeds;
    CHECK(expectedMs(speeds, 4000) < 130);
    simulate(speeds, 60);
    CHECK(expectedMs(speeds, 4000) == Approx(210).epsilon(0.3));
    simulate(speeds, 400);
    CHECK(expectedMs(speeds, 300) == Approx(62).epsilon(0.35));
    CHECK(expectedMs(speeds, 8000) == Approx(370).epsilon(0.3));
    CHECK(speeds.speedOf(model).waitFactor > 0.5);
}

TEST_CASE_METHOD(EngineSpeedsFixture,
    "Speed estimated by a host with few prefills is that of the hosts with many, whatever their number")
{
    EngineSpeeds busy;
    simulate(busy, 400);
    EngineSpeeds idle;
    simulate(idle, 2);
    auto others = busy.localEstimate(model);
    others += busy.localEstimate(model);
    idle.setRemoteEstimate(model, others);
    CHECK(expectedMs(idle, 4000) == Approx(expectedMs(busy, 4000)).epsilon(0.05));
    // The rounding error that a closed link leaves in the sum is not an estimate.
    idle.setRemoteEstimate(model, LearnedSpeed { 1e-6, { 5, 5, 5, 5 } });
    CHECK(expectedMs(idle, 4000) < 400);
}

TEST_CASE_METHOD(EngineSpeedsFixture, "Speed of engines that were replaced by faster ones follows the change")
{
    EngineSpeeds speeds;
    simulate(speeds, 300);
    for (int i = 0; i < 300; ++i) {
        const auto prompt = TokenCount(100 + static_cast<std::int64_t>(uniformBelow(random, 8000)));
        speeds.notePrefill(
            model, { prompt, TokenCount(0), 0, 10 + static_cast<double>(prompt.count()) / 100 });
    }
    CHECK(expectedMs(speeds, 4000) == Approx(50).epsilon(0.3));
}
