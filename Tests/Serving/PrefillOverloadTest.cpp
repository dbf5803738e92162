#include "Serving/Placement.h"

#include "Core/RandomSource.h"
#include "SimulatedEngine.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr int engines = 4;
constexpr Nanoseconds target = 650ms;
constexpr Nanoseconds callerTimeout = 5s;

struct Outcome {
    int requested = 0;
    int inTime = 0;
    int served = 0;
    int refused = 0;
};

// Simulates 30 s of prompts with 4,000 new tokens on average at four engines.
Outcome simulate(double deferFactor, double perSecond, std::uint64_t seed)
{
    BackendTable table;
    std::map<BackendId, SimulatedEngine> simulated;
    for (int i = 0; i < engines; ++i) {
        const auto record = engineRecord(
            "p" + std::to_string(i), EngineRole::Prefill, "a", static_cast<std::uint16_t>(i + 1));
        table.put(record);
        simulated[record.id];
    }
    PlacementOptions options;
    options.deferFactor = deferFactor;
    const Placement placement(table, DataCentre("a"), options);
    const auto random = seededRandom(seed);
    Outcome outcome;
    const auto ended = [&](const SimulatedPrefill& job, MonotonicTime at) {
        outcome.inTime += at <= job.arrivedAt + target ? 1 : 0;
        outcome.served += at <= job.arrivedAt + callerTimeout ? 1 : 0;
        table.close(job.choice.backend, job.choice.prefillLoad());
    };
    for (auto now = testStart; now < testStart + 30s;) {
        now += Nanoseconds(static_cast<std::int64_t>(-std::log(1 - uniform(random)) * 1e9 / perSecond));
        for (auto& engine : simulated)
            engine.second.workUntil(now, ended);
        PromptShape prompt;
        prompt.tokens = TokenCount(static_cast<std::int64_t>(500 - 3500 * std::log(1 - uniform(random))));
        const auto choice = placement.choosePrefill(model, prompt, {}, Deadline(now + target), now);
        ++outcome.requested;
        if (choice->expectedMs > std::chrono::duration<double, std::milli>(callerTimeout).count()) {
            ++outcome.refused;
            continue;
        }
        table.open(choice->backend, choice->prefillLoad());
        simulated[choice->backend].add({ now, *choice, choice->workMs });
    }
    for (auto& engine : simulated)
        engine.second.workUntil(testStart + 60s, ended);
    return outcome;
}

constexpr double never = 1e9;

} // namespace

TEST_CASE("Overload of all engines, with late prefills deferred, is mostly in time where it is served")
{
    for (const double perSecond : { 48., 72. }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const auto deferring = simulate(PlacementOptions().deferFactor, perSecond, seed);
            const auto inOrder = simulate(never, perSecond, seed);
            INFO(perSecond << " a second, seed " << seed << ", in time " << deferring.inTime << " of "
                           << deferring.requested << ", served " << deferring.served << ", refused "
                           << deferring.refused << "; in order " << inOrder.inTime << ", " << inOrder.served);
            CHECK(deferring.inTime > 2 * inOrder.inTime);
            CHECK(deferring.inTime * 10 > deferring.served * 9);
            // Deferred prompts are mostly served all the same, or refused at once.
            CHECK((deferring.served + deferring.refused) * 10 > deferring.requested * 9);
        }
    }
}

TEST_CASE("Ordinary load, with late prefills deferred, is served as well as without")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        const auto deferring = simulate(PlacementOptions().deferFactor, 30, seed);
        const auto inOrder = simulate(never, 30, seed);
        CHECK(deferring.served == deferring.requested);
        CHECK(deferring.inTime * 100 >= inOrder.inTime * 99);
    }
}
