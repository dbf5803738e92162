#include "Shift/ShiftRun.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

Mix shortMix(double load)
{
    std::string error;
    auto mix = readMix("60 100 6000 8 0.3 3000\n60 100 1200 200 0.3 8000\n60 100 6000 8 0.3 3000\n", error);
    scaleLoad(*mix, *builtInFleet("nigam"), load);
    return *mix;
}

} // namespace

TEST_CASE("ShiftRun, every policy and fault, ends each request once and stays below the bound")
{
    for (const auto& name : shiftFaultNames()) {
        const ShiftRun run(shortMix(0.9), *builtInFleet("nigam"), 5, *parseShiftFault(name));
        const auto bound = run.run("clairvoyant");
        for (const auto& policy : ShiftRun::policies()) {
            CAPTURE(name, policy);
            const auto outcome = run.run(policy);
            REQUIRE(outcome);
            const auto& result = outcome->result;
            CHECK(result.violations.empty());
            CHECK(result.offered == bound->result.offered);
            CHECK(result.completeInTime + result.refused + result.late == result.offered);
            CHECK(result.completeInTime <= bound->result.completeInTime);
            CHECK(result.completeInTime > 0);
        }
    }
}

TEST_CASE("ShiftRun, prefill engines beside a mixed one at a low load, answers everything in time")
{
    auto mix = *builtInMix("steady");
    const auto fleet = *builtInFleet("nigam");
    scaleLoad(mix, fleet, 0.3);
    const auto outcome = ShiftRun(mix, fleet, 1, ShiftFault::None).run("fixed");
    CHECK(outcome->result.completeInTime == outcome->result.offered);
}

TEST_CASE("ShiftRun, the same seed, gives the same run and another seed another")
{
    const auto fleet = *builtInFleet("nigam");
    const auto first = ShiftRun(shortMix(0.8), fleet, 1, ShiftFault::None).run("almondscale");
    const auto again = ShiftRun(shortMix(0.8), fleet, 1, ShiftFault::None).run("almondscale");
    const auto other = ShiftRun(shortMix(0.8), fleet, 2, ShiftFault::None).run("almondscale");
    CHECK(shiftOutcomeLine(*first) == shiftOutcomeLine(*again));
    CHECK(first->result.offered != other->result.offered);
}

TEST_CASE("ShiftRun, a load far below capacity, answers everything in time under fixed roles")
{
    const auto outcome = ShiftRun(shortMix(0.2), *builtInFleet("nigam"), 3, ShiftFault::None).run("fixed");
    CHECK(outcome->result.completeInTime == outcome->result.offered);
}

TEST_CASE("ShiftRun, an unknown policy, is not run")
{
    CHECK_FALSE(ShiftRun(shortMix(0.2), *builtInFleet("nigam"), 3, ShiftFault::None).run("unknown"));
}
