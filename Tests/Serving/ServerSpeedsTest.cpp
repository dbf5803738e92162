#include "Serving/ServerSpeeds.h"

#include "Core/RandomSource.h"
#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class ServerSpeedsFixture {
public:
    ServerSpeedsFixture()
    {
        for (int i = 0; i < 12; ++i) {
            auto record = engineRecord(
                "e" + std::to_string(i), EngineRole::Prefill, "a", static_cast<std::uint16_t>(i + 1));
            record.startedAtMs = 1000;
            table.put(record);
        }
    }

    BackendLifetime server(int i) const
    {
        return lifetimeOf(table.find(BackendId("e" + std::to_string(i)))->record);
    }

    const ServerFactors& factors(int i) const
    {
        return table.find(BackendId("e" + std::to_string(i)))->factors;
    }

    // So many samples of each server, whose times are those of `factor` with a random error.
    void sample(ServerSpeeds& to, int count, const std::function<double(int)>& factor)
    {
        for (int n = 0; n < count; ++n) {
            for (int i = 0; i < 12; ++i) {
                const double taken = 50 * factor(i) * std::exp(0.6 * (uniform(random) - 0.5));
                to.notePrefill(server(i), taken, 50, 1, now);
            }
            now += 200ms;
        }
    }

    static double uneven(int i) { return i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1 : 1.6; }

    RandomSource random = seededRandom(3);
    MonotonicTime now = testStart;
    BackendTable table;
    ServerSpeeds speeds;
};

} // namespace

TEST_CASE_METHOD(ServerSpeedsFixture,
    "Factors of servers of equal speed, whatever the common error of the expected times, are exactly 1")
{
    for (const double common : { 0.3, 1.0, 5.0 }) {
        ServerSpeeds own;
        sample(own, 100, [common](int) { return common; });
        own.update(table, now);
        for (int i = 0; i < 12; ++i) {
            CHECK(factors(i).prefill == 1);
            CHECK(factors(i).decode == 1);
        }
    }
}

TEST_CASE_METHOD(ServerSpeedsFixture,
    "Factors of servers of uneven speed, sampled by many hosts, are close to their speed on a host that has "
    "sampled none")
{
    sample(speeds, 150, uneven);
    ServerSpeeds idle;
    idle.setRemoteSums(speeds.localSums(now), now);
    idle.update(table, now);
    for (int i = 0; i < 12; ++i) {
        CHECK(factors(i).prefill == Approx(uneven(i)).epsilon(0.15));
        // An engine that changes its role is as fast as before.
        CHECK(factors(i).decode == Approx(uneven(i)).epsilon(0.2));
    }
    // Without further samples, servers are typical again, so that slow ones are tried again.
    now += 120s;
    idle.update(table, now);
    CHECK(factors(2).prefill == 1);
}

TEST_CASE_METHOD(
    ServerSpeedsFixture, "Restarted server, slow in its previous lifetime, begins as a typical one")
{
    sample(speeds, 150, uneven);
    speeds.update(table, now);
    CHECK(factors(2).prefill > 1.4);
    auto record = table.find(BackendId("e2"))->record;
    record.startedAtMs = 2000;
    table.put(record);
    speeds.update(table, now);
    CHECK(factors(2).prefill == 1);
}

TEST_CASE_METHOD(ServerSpeedsFixture,
    "Server, slowed down for half a second, has a higher factor during that time, and its steady one hardly "
    "changes")
{
    sample(speeds, 150, uneven);
    speeds.update(table, now);
    const double before = factors(1).prefill;
    for (int i = 0; i < 6; ++i) {
        now += 80ms;
        speeds.notePrefill(server(1), 125, 50, 1, now);
    }
    speeds.update(table, now);
    CHECK(factors(1).prefill > 1.6 * before);
    CHECK(factors(1).steadyPrefill < 1.3 * before);
    now += 2s;
    speeds.update(table, now);
    CHECK(factors(1).prefill == factors(1).steadyPrefill);
}

TEST_CASE_METHOD(ServerSpeedsFixture, "Slow server in an even fleet has its factor, and all others 1")
{
    sample(speeds, 150, [](int i) { return i == 5 ? 3.0 : 1.0; });
    speeds.update(table, now);
    for (int i = 0; i < 12; ++i)
        CHECK(factors(i).prefill == Approx(i == 5 ? 3 : 1).epsilon(0.15));
    CHECK(factors(4).prefill == 1);
}
