#include "Serving/Placement.h"

#include "Core/RandomSource.h"
#include "SimulatedEngine.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <memory>
#include <vector>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 8;
constexpr int engines = 7;
constexpr Nanoseconds target = 400ms;
// Keeps the engines busy for 60 % of the time.
constexpr double perSecond = 56;

// A host with its view of the engines.
struct SimulatedHost {
    BackendTable table;
    Placement placement { table, DataCentre("a"), PlacementOptions() };
    // The last report, which the other hosts receive one interval later.
    BackendTable::Loads reported;
};

// Every host receives the reports of the previous interval and reports its load.
void exchangeLoads(const std::vector<std::unique_ptr<SimulatedHost>>& simulated)
{
    for (const auto& host : simulated) {
        BackendTable::Loads remoteLoads;
        for (const auto& other : simulated) {
            if (other == host)
                continue;
            for (const auto& load : other->reported)
                remoteLoads[load.first] += load.second;
        }
        host->table.setRemoteLoads(remoteLoads);
    }
    for (const auto& host : simulated)
        host->reported = host->table.localLoads();
}

// The share of a minute's prompts that are prefilled in time if hosts exchange their loads at this interval.
double simulateShareInTime(Nanoseconds interval, std::uint64_t seed)
{
    std::vector<std::unique_ptr<SimulatedHost>> simulated;
    std::map<BackendId, SimulatedEngine> simulatedEngines;
    simulated.reserve(hosts);
    for (int i = 0; i < hosts; ++i)
        simulated.push_back(std::make_unique<SimulatedHost>());
    for (int i = 0; i < engines; ++i) {
        const auto record = engineRecord(
            "p" + std::to_string(i), EngineRole::Prefill, "a", static_cast<std::uint16_t>(i + 1));
        for (const auto& host : simulated)
            host->table.put(record);
        simulatedEngines[record.id];
    }
    const auto random = seededRandom(seed);
    int requested = 0;
    int inTime = 0;
    std::size_t requestIndex = 0;
    std::map<MonotonicTime, std::size_t> hostOfJob;
    const auto ended = [&](const SimulatedPrefill& job, MonotonicTime at) {
        inTime += at <= job.arrivedAt + target ? 1 : 0;
        simulated[hostOfJob.at(job.arrivedAt)]->table.close(job.choice.backend, job.choice.prefillLoad());
    };
    auto nextExchange = testStart;
    for (auto now = testStart; now < testStart + 60s;) {
        now += Nanoseconds(static_cast<std::int64_t>(-std::log(1 - uniform(random)) * 1e9 / perSecond) + 1);
        for (; nextExchange <= now; nextExchange += interval) {
            for (auto& engine : simulatedEngines)
                engine.second.workUntil(nextExchange, ended);
            exchangeLoads(simulated);
        }
        for (auto& engine : simulatedEngines)
            engine.second.workUntil(now, ended);
        PromptShape prompt;
        prompt.tokens = TokenCount(static_cast<std::int64_t>(500 - 3000 * std::log(1 - uniform(random))));
        auto& host = *simulated[requestIndex % hosts];
        const auto choice = host.placement.choosePrefill(model, prompt, {}, Deadline(now + target), now);
        ++requested;
        hostOfJob[now] = requestIndex % hosts;
        ++requestIndex;
        host.table.open(choice->backend, choice->prefillLoad());
        simulatedEngines[choice->backend].add({ now, *choice, choice->workMs });
    }
    for (auto& engine : simulatedEngines)
        engine.second.workUntil(testStart + 90s, ended);
    return static_cast<double>(inTime) / requested;
}

} // namespace

TEST_CASE("Prompts at eight hosts, with loads exchanged sooner, are in time more often")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        const double soon = simulateShareInTime(60ms, seed);
        const double late = simulateShareInTime(200ms, seed);
        const double never = simulateShareInTime(100s, seed);
        CAPTURE(seed, soon, late, never);
        // At least a fifth of the late prompts are in time.
        CHECK(1 - soon < 0.8 * (1 - late));
        CHECK(late > never);
    }
}
