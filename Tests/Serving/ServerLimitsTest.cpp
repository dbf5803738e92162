#include "Serving/ServerLimits.h"

#include "LimitedFleet.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr Nanoseconds window = 4s;

// What a server may get in a window, as the platform states it.
double allowed(RequestRate limit) { return 1.5 * 4 * limit.perSecond() + 5; }

// Three hosts in four get few requests, the others many.
void setUnequalTraffic(LimitedFleet& fleet, double requestsPerSecond)
{
    const int busy = (fleet.hostCount() + 3) / 4;
    for (int i = 0; i < fleet.hostCount(); ++i)
        fleet.host(i).requestsPerSecond = i < busy ? 0.8 * requestsPerSecond / busy
                                                   : 0.2 * requestsPerSecond / (fleet.hostCount() - busy);
}

class ServerLimitsFixture {
public:
    const BackendLifetime server { BackendId("s0"), 1 };
    ServerLimits limits { seededRandom(1) };
};

} // namespace

TEST_CASE("Fleet, with unequal traffic over the limit, sends no more than the limit and most of it")
{
    for (const int hosts : { 1, 8, 195 }) {
        for (const double rate : { 0.3, 1.0, 5.0, 40.0 }) {
            const RequestRate limit(rate);
            // Long enough for 150 requests.
            const auto time
                = std::max(Nanoseconds(30s), Nanoseconds(static_cast<std::int64_t>(150e9 / rate)));
            LimitedFleet fleet(hosts, 1, 1);
            setUnequalTraffic(fleet, 5 * rate + 10);
            fleet.run(5s);
            const auto namedAt = fleet.now;
            fleet.name(0, limit);
            fleet.run(3s + time);
            const double spent
                = fleet.arrivedSince(0, namedAt + 3s) / (std::chrono::duration<double>(time).count() * rate);
            CAPTURE(hosts, rate, spent);
            CHECK(fleet.mostInWindow(0, window, namedAt + 3s) <= allowed(limit));
            CHECK(spent > 0.6);
            CHECK(spent < 1.1);
        }
    }
}

TEST_CASE("Fleet, with a sudden peak of requests beside a limit, sends no more than the rule allows")
{
    for (const int hosts : { 8, 195 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const RequestRate limit(5);
            LimitedFleet fleet(hosts, 1, seed);
            setUnequalTraffic(fleet, 8);
            fleet.name(0, limit);
            fleet.run(15s);
            const auto peakAt = fleet.now;
            setUnequalTraffic(fleet, 200);
            fleet.run(10s);
            // The peak is at other hosts than before.
            for (int i = 0; i < hosts; ++i)
                fleet.host(i).requestsPerSecond = i >= hosts / 2 ? 400.0 / hosts : 0;
            fleet.run(20s);
            CAPTURE(hosts, seed);
            CHECK(fleet.mostInWindow(0, window, testStart + 3s) <= allowed(limit));
            CHECK(fleet.arrivedSince(0, peakAt + 15s) > 0.6 * 5 * 15);
        }
    }
}

TEST_CASE("Fleet, cut into groups, sends no more than the limit in all groups together")
{
    for (const int hosts : { 8, 195 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const RequestRate limit(6);
            LimitedFleet fleet(hosts, 1, seed);
            setUnequalTraffic(fleet, 60);
            fleet.name(0, limit);
            fleet.run(10s);
            for (int i = 0; i < hosts; ++i)
                fleet.host(i).group = i % 3;
            fleet.run(20s);
            for (int i = 0; i < hosts; ++i)
                fleet.host(i).group = i;
            fleet.run(20s);
            for (int i = 0; i < hosts; ++i)
                fleet.host(i).group = 0;
            fleet.run(20s);
            CAPTURE(hosts, seed);
            CHECK(fleet.mostInWindow(0, window, testStart + 3s) <= allowed(limit));
        }
    }
}

TEST_CASE("Fleet, with hosts that restart and wake, sends no more than the limit")
{
    for (const int hosts : { 8, 195 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const RequestRate limit(6);
            LimitedFleet fleet(hosts, 1, seed);
            setUnequalTraffic(fleet, 60);
            fleet.name(0, limit);
            fleet.run(5s);
            for (int round = 0; round < 10; ++round) {
                fleet.restart(round % hosts);
                fleet.host((round + 3) % hosts).pausedUntil = fleet.now + 2s;
                fleet.run(3s);
            }
            CAPTURE(hosts, seed);
            CHECK(fleet.mostInWindow(0, window, testStart + 3s) <= allowed(limit));
            CHECK(fleet.arrivedSince(0, testStart + 5s) > 0.5 * 6 * 30);
        }
    }
}

TEST_CASE("Fleet, with a limit that falls and rises, follows it")
{
    for (const int hosts : { 8, 195 }) {
        LimitedFleet fleet(hosts, 1, 1);
        setUnequalTraffic(fleet, 100);
        fleet.name(0, RequestRate(20));
        fleet.run(10s);
        fleet.name(0, RequestRate(2));
        fleet.run(10s);
        const auto riseAt = fleet.now;
        CAPTURE(hosts);
        CHECK(fleet.mostInWindow(0, window, testStart + 13s) <= allowed(RequestRate(2)));
        fleet.name(0, RequestRate(20));
        fleet.run(10s);
        CHECK(fleet.arrivedSince(0, riseAt + 1s) > 0.6 * 20 * 9);
        fleet.name(0, std::nullopt);
        fleet.run(1s);
        CHECK(fleet.arrivedSince(0, fleet.now - 1s) > 60);
    }
}

TEST_CASE("Fleet, with all servers of a service limited, spends the limit of each")
{
    LimitedFleet fleet(8, 3, 1);
    setUnequalTraffic(fleet, 60);
    for (int server = 0; server < 3; ++server)
        fleet.name(server, RequestRate(4));
    fleet.run(30s);
    for (int server = 0; server < 3; ++server) {
        CAPTURE(server);
        CHECK(fleet.mostInWindow(server, window, testStart + 3s) <= allowed(RequestRate(4)));
        CHECK(fleet.arrivedSince(server, testStart + 3s) > 0.6 * 4 * 27);
    }
}

TEST_CASE("Fleet, with one host told, has the others keep the limit once they hear of it")
{
    LimitedFleet fleet(8, 1, 1);
    setUnequalTraffic(fleet, 60);
    fleet.run(3s);
    fleet.host(0).limits.noteResponse(fleet.server(0), RequestRate(3), fleet.now, fleet.now);
    std::uint64_t version = 0;
    for (const auto& statement : fleet.host(0).limits.changesSince(version, 64)) {
        for (int i = 1; i < fleet.hostCount(); ++i)
            CHECK(fleet.host(i).limits.noteRelayed(statement, fleet.now));
    }
    const auto toldAt = fleet.now;
    fleet.run(20s);
    CHECK(fleet.mostInWindow(0, window, toldAt + 500ms) <= allowed(RequestRate(3)));
    CHECK(fleet.host(0).limits.changesSince(version, 64).empty());
}

TEST_CASE_METHOD(ServerLimitsFixture,
    "Limit, with a response to an earlier request that does not name it, holds until a later one")
{
    CHECK(limits.noteResponse(server, RequestRate(2), testStart, testStart + 1s));
    CHECK_FALSE(limits.noteResponse(server, std::nullopt, testStart + 900ms, testStart + 2s));
    CHECK(limits.isLimited(server));
    CHECK(limits.noteResponse(server, std::nullopt, testStart + 1100ms, testStart + 2s));
    CHECK_FALSE(limits.isLimited(server));
}

TEST_CASE_METHOD(ServerLimitsFixture,
    "Limit, relayed as ended by a host that heard of it earlier, holds at a host told since")
{
    limits.noteResponse(server, RequestRate(2), testStart, testStart + 1s);
    CHECK_FALSE(limits.noteRelayed({ server, std::nullopt, testStart + 900ms }, testStart + 1100ms));
    CHECK_FALSE(limits.noteRelayed({ server, std::nullopt, testStart + 1200ms }, testStart + 1300ms));
    CHECK(limits.isLimited(server));
    CHECK(limits.noteRelayed({ server, std::nullopt, testStart + 2s }, testStart + 2100ms));
    CHECK_FALSE(limits.isLimited(server));
}

TEST_CASE_METHOD(
    ServerLimitsFixture, "Limit, lowered by a relayed statement, is lowered at once and raised later")
{
    limits.noteResponse(server, RequestRate(5), testStart, testStart + 1s);
    CHECK(limits.noteRelayed({ server, RequestRate(1), testStart + 1100ms }, testStart + 1200ms));
    CHECK(limits.limit(server)->perSecond() == 1);
    CHECK_FALSE(limits.noteRelayed({ server, RequestRate(5), testStart + 1200ms }, testStart + 1300ms));
    CHECK(limits.noteRelayed({ server, RequestRate(5), testStart + 1700ms }, testStart + 1800ms));
    CHECK(limits.limit(server)->perSecond() == 5);
}

TEST_CASE_METHOD(
    ServerLimitsFixture, "Limit of a server, after its restart, does not hold for the new lifetime")
{
    limits.noteResponse(server, RequestRate(2), testStart, testStart);
    CHECK_FALSE(limits.isLimited({ server.backend, 2 }));
    CHECK(limits.hasRoom({ server.backend, 2 }, model, testStart));
}

TEST_CASE_METHOD(ServerLimitsFixture, "Limits, of many lifetimes that are gone, are forgotten after a minute")
{
    for (int i = 0; i < 1000; ++i)
        limits.noteResponse({ server.backend, i }, RequestRate(2), testStart, testStart);
    limits.forgetAfterRemoval([](const BackendLifetime&) { return false; }, testStart + 61s);
    CHECK(limits.empty());
}

TEST_CASE_METHOD(ServerLimitsFixture, "Limit, named, changed, binding and ended, is reported once each")
{
    std::vector<LimitEvent> events;
    limits.onEvent = [&](LimitEvent event, const BackendLifetime&, RequestRate) { events.push_back(event); };
    limits.noteResponse(server, RequestRate(1), testStart, testStart);
    for (int i = 0; i < 20; ++i)
        limits.hasRoom(server, model, testStart);
    limits.noteResponse(server, RequestRate(1), testStart, testStart + 1s);
    limits.noteResponse(server, RequestRate(2), testStart, testStart + 2s);
    limits.noteResponse(server, std::nullopt, testStart + 3s, testStart + 4s);
    CHECK(events
        == std::vector<LimitEvent> {
            LimitEvent::Named, LimitEvent::Binds, LimitEvent::Changed, LimitEvent::Ended });
}

TEST_CASE_METHOD(ServerLimitsFixture, "Limit, with a permitted request not sent, leaves its place to another")
{
    limits.noteResponse(server, RequestRate(10), testStart, testStart);
    for (int i = 0; i < 40; ++i)
        limits.onRequest(model, testStart + i * 50ms);
    limits.localTraffic(testStart + 1s);
    limits.localTraffic(testStart + 2s);
    const auto now = testStart + 3s;
    int sent = 0;
    while (limits.hasRoom(server, model, now)) {
        limits.count(server, model, now);
        ++sent;
    }
    REQUIRE(sent > 0);
    limits.giveBack(server, now);
    CHECK(limits.hasRoom(server, model, now));
    limits.count(server, model, now);
    CHECK_FALSE(limits.hasRoom(server, model, now));
}
