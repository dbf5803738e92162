#include "Roles/RolePolicy.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using std::chrono::seconds;

namespace {

// A pool of six engines and three hosts, driven second by second.
struct Fixture {
    RoleSettings settings;
    std::vector<RoleRule> rules;
    RolePolicy policy { settings, { [this] { return rules; } } };
    std::vector<EngineStatus> engines;
    MonotonicTime now { seconds(1000) };
    Demand demand { 15, 1000, 250, 1250 };
    std::vector<DemandReport> hosts { 3 };
    int silentHosts = 0;
    bool enginesReport = true;

    Fixture()
    {
        for (int i = 0; i < 6; ++i)
            engines.push_back(
                { EngineId("e" + std::to_string(i)), EngineRole::Mixed, EngineReadiness::Ready, now });
    }

    void report()
    {
        for (std::size_t i = static_cast<std::size_t>(silentHosts); i < hosts.size(); ++i) {
            auto& host = hosts[i];
            // The balancer sends the callers of a host that is gone to the others.
            const double requests = demand.requestsPerSecond / (3 - silentHosts);
            host.uptime += seconds(1);
            host.requests += static_cast<std::uint64_t>(requests);
            host.prefillTokens += TokenCount(static_cast<std::int64_t>(requests * demand.prefillTokens));
            host.decodeTokens += TokenCount(static_cast<std::int64_t>(requests * demand.decodeTokens));
            host.contextTokens += TokenCount(static_cast<std::int64_t>(requests * demand.contextTokens));
            policy.onDemand(HostId("h" + std::to_string(i)), host, now);
        }
    }

    std::vector<RoleChange> second()
    {
        now += seconds(1);
        report();
        for (auto& engine : engines) {
            if (enginesReport)
                engine.reportedAt = now;
        }
        policy.onEngines(engines, now);
        return policy.decide(now);
    }

    // Runs for a time; changes are carried out at once.
    int run(int duration)
    {
        int changes = 0;
        for (int i = 0; i < duration; ++i) {
            for (const auto& change : second()) {
                ++changes;
                CHECK(change.expectedGain > 0);
                apply(change);
            }
        }
        return changes;
    }

    void apply(const RoleChange& change)
    {
        for (auto& engine : engines) {
            if (engine.engine == change.engine)
                engine.role = change.to;
        }
    }

    int count(EngineRole role) const
    {
        int found = 0;
        for (const auto& engine : engines)
            found += engine.role == role ? 1 : 0;
        return found;
    }

    // Prompts so long that mixed engines fall behind.
    void turnToPrompts() { demand = { 33, 6000, 8, 6008 }; }
};

} // namespace

TEST_CASE_METHOD(Fixture, "RolePolicy, a steady demand that is met, changes nothing")
{
    CHECK(run(600) == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, a lasting turn to long prompts, makes prefill engines and then rests")
{
    run(60);
    turnToPrompts();
    CHECK(run(300) > 0);
    CHECK(count(EngineRole::Prefill) >= 2);
    CHECK(run(600) == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, a swing faster than a change pays for, changes nothing")
{
    const Demand calm = demand;
    int changes = 0;
    for (int i = 0; i < 60; ++i) {
        turnToPrompts();
        changes += run(8);
        demand = calm;
        changes += run(8);
    }
    CHECK(changes == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, one host silent, changes nothing until the host counts as gone")
{
    run(60);
    turnToPrompts();
    silentHosts = 1;
    run(4);
    CHECK(run(24) == 0);
    CHECK(run(120) > 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, engine reports stale, changes nothing")
{
    run(60);
    turnToPrompts();
    enginesReport = false;
    run(5);
    CHECK(run(120) == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, as many engines changing as may, orders no further change")
{
    run(60);
    turnToPrompts();
    engines[0].readiness = EngineReadiness::Changing;
    engines[1].readiness = EngineReadiness::Changing;
    CHECK(run(120) == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, engines withdrawn or down, are never ordered to change")
{
    run(60);
    turnToPrompts();
    engines[0].readiness = EngineReadiness::Down;
    engines[1].readiness = EngineReadiness::Withdrawing;
    CHECK(run(300) > 0);
    CHECK(engines[0].role == EngineRole::Mixed);
    CHECK(engines[1].role == EngineRole::Mixed);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, a ceiling, is kept although more would pay")
{
    rules.push_back({ ModelName("m"), EngineRole::Prefill, 0, 1 });
    run(60);
    turnToPrompts();
    run(600);
    CHECK(count(EngineRole::Prefill) <= 1);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, a floor set while running, is reached without a gain")
{
    run(60);
    rules.push_back({ ModelName("m"), EngineRole::Decode, 1, 6 });
    for (int i = 0; i < 60; ++i) {
        for (const auto& change : second())
            apply(change);
    }
    CHECK(count(EngineRole::Decode) == 1);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, a successor in mid-shift, orders no more than its predecessor would")
{
    run(60);
    turnToPrompts();
    run(40);
    policy = RolePolicy(settings, { [this] { return rules; } });
    CHECK(second().empty());
    CHECK(run(3) == 0);
    const int most = 2;
    int changes = 0;
    for (int i = 0; i < 19; ++i)
        changes += run(1);
    CHECK(changes <= most);
}
