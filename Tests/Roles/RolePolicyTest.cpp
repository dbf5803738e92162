#include "Roles/RolePolicy.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using std::chrono::seconds;

namespace {

// Simulates a pool of six engines and three hosts in steps of one second.
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
            // The load balancer sends the requests of a failed host to the others.
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

    // Runs for a number of seconds and applies changes immediately.
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

    // Switches to prompts that are too long for mixed engines to keep up with.
    void switchToLongPrompts() { demand = { 33, 6000, 8, 6008 }; }
};

} // namespace

TEST_CASE_METHOD(Fixture, "RolePolicy, a steady demand that is met, changes nothing")
{
    CHECK(run(600) == 0);
}

TEST_CASE_METHOD(
    Fixture, "RolePolicy, a lasting change to long prompts, adds prefill engines and then changes nothing")
{
    run(60);
    switchToLongPrompts();
    CHECK(run(300) > 0);
    CHECK(count(EngineRole::Prefill) >= 2);
    CHECK(run(600) == 0);
}

TEST_CASE_METHOD(
    Fixture, "RolePolicy, a demand that alternates too fast for a change to pay off, changes nothing")
{
    const Demand calm = demand;
    int changes = 0;
    for (int i = 0; i < 60; ++i) {
        switchToLongPrompts();
        changes += run(8);
        demand = calm;
        changes += run(8);
    }
    CHECK(changes == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, one host silent, changes nothing until the host is removed")
{
    run(60);
    switchToLongPrompts();
    silentHosts = 1;
    run(4);
    CHECK(run(24) == 0);
    CHECK(run(120) > 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, engine reports stale, changes nothing")
{
    run(60);
    switchToLongPrompts();
    enginesReport = false;
    run(5);
    CHECK(run(120) == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, the maximum number of engines changing, orders no further change")
{
    run(60);
    switchToLongPrompts();
    engines[0].readiness = EngineReadiness::Changing;
    engines[1].readiness = EngineReadiness::Changing;
    CHECK(run(120) == 0);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, engines withdrawn or down, are never ordered to change")
{
    run(60);
    switchToLongPrompts();
    engines[0].readiness = EngineReadiness::Down;
    engines[1].readiness = EngineReadiness::Withdrawing;
    CHECK(run(300) > 0);
    CHECK(engines[0].role == EngineRole::Mixed);
    CHECK(engines[1].role == EngineRole::Mixed);
}

TEST_CASE_METHOD(Fixture, "RolePolicy, a ceiling, is respected although more engines would bring a gain")
{
    rules.push_back({ ModelName("m"), EngineRole::Prefill, 0, 1 });
    run(60);
    switchToLongPrompts();
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

TEST_CASE_METHOD(
    Fixture, "RolePolicy, a successor during a change of demand, orders no more than its predecessor would")
{
    run(60);
    switchToLongPrompts();
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
