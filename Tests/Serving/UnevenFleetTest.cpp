#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <array>
#include <ostream>
#include <utility>

using namespace almondscale;

namespace {

// The load of deployment B: three kinds of requests on 60 engines of uneven speed.
SimulatedFleetSpec loadB(int hosts)
{
    SimulatedFleetSpec spec;
    spec.engines = 60;
    spec.slots = 64;
    spec.baseMs = 20;
    spec.msPerToken = 1 / 61.8;
    spec.msPerMillionPairs = 0.2;
    spec.eventMs = 10;
    spec.transferMsPerToken = 0.0035;
    spec.memoryTokens = 509830;
    spec.types = { { 59.1, 6000, 3000, 40, 40, 600 }, { 45.9, 2500, 1500, 40, 120, 500 },
        { 107, 1500, 0, 0, 20, 300 } };
    spec.factors = { 0.6, 1.0, 1.6 };
    spec.slowDownsPerSecond = 0.1;
    spec.hosts = hosts;
    return spec;
}

struct Result {
    double inTime = 0;
    std::array<double, 3> byKind {};
    int longestQueue = 0;
};

std::ostream& operator<<(std::ostream& to, const Result& result)
{
    return to << result.inTime << " (" << result.byKind[0] << ", " << result.byKind[1] << ", "
              << result.byKind[2] << "; longest queue " << result.longestQueue << ")";
}

Result run(SimulatedFleetSpec spec, SimulatedPolicy policy, bool learnsFactors, std::uint64_t seed)
{
    spec.policy = policy;
    spec.learnsFactors = learnsFactors;
    SimulatedFleet fleet(spec, seed);
    Result result;
    result.inTime = fleet.simulate(30);
    for (std::size_t kind = 0; kind < result.byKind.size(); ++kind)
        result.byKind.at(kind) = fleet.inTime(kind);
    result.longestQueue = fleet.longestQueue();
    return result;
}

} // namespace

TEST_CASE("Load of deployment B is in time more often with learned speeds than without, and than in turn")
{
    for (const auto& [hosts, seed] : { std::pair { 80, 1 }, std::pair { 80, 2 }, std::pair { 370, 1 } }) {
        const auto spec = loadB(hosts);
        const auto learned = run(spec, SimulatedPolicy::Placement, true, seed);
        const auto unlearned = run(spec, SimulatedPolicy::Placement, false, seed);
        const auto inTurn = run(spec, SimulatedPolicy::RoundRobin, false, seed);
        const auto fewest = run(spec, SimulatedPolicy::FewestWaiting, false, seed);
        INFO(hosts << " hosts, seed " << seed << ": learned " << learned << ", not learned " << unlearned
                   << ", in turn " << inTurn << ", fewest waiting " << fewest);
        // At most half as many late requests.
        CHECK(1 - learned.inTime < (1 - unlearned.inTime) / 2);
        CHECK(1 - learned.inTime < (1 - inTurn.inTime) / 2);
        CHECK(learned.inTime > fewest.inTime);
    }
}

TEST_CASE("Engines of even speed are chosen exactly as without learned speeds")
{
    for (const int hosts : { 2, 80 }) {
        auto spec = loadB(hosts);
        spec.factors.clear();
        spec.slowDownsPerSecond = 0;
        CHECK(run(spec, SimulatedPolicy::Placement, true, 1).byKind
            == run(spec, SimulatedPolicy::Placement, false, 1).byKind);
    }
}
