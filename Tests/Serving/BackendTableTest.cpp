#include "Serving/BackendTable.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class BackendTableFixture {
public:
    BackendTableFixture()
    {
        table.put(engineRecord("e1", EngineRole::Decode, "a", 1));
        table.put(engineRecord("e2", EngineRole::Decode, "a", 2));
    }

    BackendTable table;
    const BackendId first { "e1" };
    const BackendId second { "e2" };
};

} // namespace

TEST_CASE_METHOD(BackendTableFixture, "Server, failing repeatedly, is ejected for longer each time")
{
    table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart);
    CHECK(table.usable(model, testStart).size() == 1);
    CHECK(table.usable(model, testStart + 400ms).size() == 2);
    table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart + 400ms);
    CHECK(table.usable(model, testStart + 800ms).size() == 1);
    table.noteOutcome(first, BackendOutcome::Answered, testStart + 900ms);
    CHECK(table.usable(model, testStart + 900ms).size() == 2);
}

TEST_CASE_METHOD(
    BackendTableFixture, "Server, with many concurrent attempts failed, is ejected as after one of them")
{
    for (int attempt = 0; attempt < 20; ++attempt)
        table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart + attempt * 1ms);
    CHECK(table.usable(model, testStart + 250ms).size() == 1);
    CHECK(table.usable(model, testStart + 350ms).size() == 2);
}

TEST_CASE_METHOD(BackendTableFixture, "Server, probed after an ejection, gets one attempt until its outcome")
{
    table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart);
    table.noteAttempt(first, testStart + 400ms);
    CHECK(table.usable(model, testStart + 401ms).size() == 1);
    SECTION("and all others once it answers")
    {
        table.noteOutcome(first, BackendOutcome::Answered, testStart + 420ms);
        CHECK(table.usable(model, testStart + 421ms).size() == 2);
    }
    SECTION("and none for twice the time if that fails too")
    {
        table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart + 420ms);
        CHECK(table.usable(model, testStart + 1000ms).size() == 1);
        CHECK(table.usable(model, testStart + 1100ms).size() == 2);
    }
    SECTION("and others if there is no outcome")
    {
        CHECK(table.usable(model, testStart + 1100ms).size() == 2);
    }
}

TEST_CASE_METHOD(BackendTableFixture, "Server, down for seconds and recovered, is probed again within 1.2 s")
{
    auto now = testStart;
    for (int trial = 0; trial < 6; ++trial) {
        table.noteAttempt(first, now);
        table.noteOutcome(first, BackendOutcome::ConnectionLost, now);
        while (table.usable(model, now).size() == 1)
            now += 50ms;
    }
    table.noteAttempt(first, now);
    table.noteOutcome(first, BackendOutcome::ConnectionLost, now);
    CHECK(table.usable(model, now + 1250ms).size() == 2);
}

TEST_CASE_METHOD(BackendTableFixture, "Servers, all ejected, are used nevertheless")
{
    table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart);
    table.noteOutcome(second, BackendOutcome::ConnectionLost, testStart);
    CHECK(table.usable(model, testStart).size() == 2);
}

TEST_CASE_METHOD(BackendTableFixture, "Servers, all unreachable, get no work before their probe")
{
    table.noteOutcome(first, BackendOutcome::Unreachable, testStart);
    table.noteOutcome(second, BackendOutcome::Unreachable, testStart);
    table.noteOutcome(second, BackendOutcome::ConnectionLost, testStart + 1ms);
    CHECK(table.usable(model, testStart + 2ms).empty());
    CHECK(table.usable(model, testStart + 400ms).size() == 2);
    table.noteAttempt(first, testStart + 400ms);
    table.noteOutcome(first, BackendOutcome::Answered, testStart + 410ms);
    table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart + 420ms);
    CHECK(table.usable(model, testStart + 430ms, EngineRole::Decode).size() == 1);
}

TEST_CASE_METHOD(BackendTableFixture, "Server, restarted with the same id, begins without history")
{
    auto record = engineRecord("e1", EngineRole::Decode, "a", 1);
    record.startedAtMs = 1000;
    table.put(record);
    table.noteOutcome(first, BackendOutcome::Failed, testStart);
    CHECK(table.find(first)->failureShare > 0);
    record.startedAtMs = 2000;
    table.put(record);
    CHECK(table.find(first)->failureShare == 0);
}

TEST_CASE_METHOD(BackendTableFixture, "Load of other hosts, reported by hash, adds to that of this host")
{
    table.open(first, BackendLoad { 10, 1, 100 });
    table.setRemoteLoads({ { backendHash(first), BackendLoad { 5, 2, 50 } } });
    CHECK(table.find(first)->load().requests == 3);
    CHECK(table.localLoads().at(backendHash(first)).requests == 1);
    table.setRemoteLoads({});
    CHECK(table.find(first)->load().requests == 1);
}

TEST_CASE_METHOD(
    BackendTableFixture, "Engines of one role, all ejected, are used although those of the other are healthy")
{
    table.put(engineRecord("p1", EngineRole::Prefill, "a", 3));
    table.noteOutcome(first, BackendOutcome::ConnectionLost, testStart);
    table.noteOutcome(second, BackendOutcome::ConnectionLost, testStart);
    CHECK(table.usable(model, testStart, EngineRole::Decode).size() == 2);
    CHECK(table.usable(model, testStart, EngineRole::Prefill).size() == 1);
}

TEST_CASE_METHOD(BackendTableFixture, "Prefixes sent by other hosts are known like those of this host")
{
    BackendTable other;
    other.put(engineRecord("e2", EngineRole::Decode, "a", 2));
    other.noteSentPrefix(second, 7, testStart);
    table.noteRemotePrefixes(other.recentlySentPrefixes(testStart + 100ms), testStart + 200ms);
    CHECK(table.find(first)->prefixes.empty());
    CHECK(table.find(second)->prefixes.count(7) == 1);
}

TEST_CASE_METHOD(BackendTableFixture, "Prefix, sent continuously, is announced again only after some seconds")
{
    int announced = 0;
    for (auto now = testStart; now < testStart + 20s; now += 100ms) {
        table.noteSentPrefix(first, 7, now);
        announced += table.recentlySentPrefixes(now).empty() ? 0 : 1;
    }
    CHECK(announced > 0);
    CHECK(announced <= 20);
}

TEST_CASE_METHOD(BackendTableFixture, "Prefixes, not sent for long, are forgotten and do not accumulate")
{
    for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix)
        table.noteSentPrefix(first, prefix, testStart + prefix * 1ms);
    table.forgetPrefixesBefore(testStart + 991ms);
    CHECK(table.find(first)->prefixes.size() == 10);
    CHECK(table.find(first)->prefixes.count(1000) == 1);
}

TEST_CASE_METHOD(BackendTableFixture,
    "Server that announced its shutdown, registered again as ready, still gets no new work")
{
    const auto record = table.find(first)->record;
    CHECK(table.noteLeaving(lifetimeOf(record), { testStart, true }));
    CHECK_FALSE(table.noteLeaving(lifetimeOf(record), { testStart, true }));
    CHECK(table.usable(model, testStart).size() == 1);
    // The registration expires during an outage of the store and reappears.
    table.remove(first);
    table.put(record);
    CHECK(table.usable(model, testStart + 1h).size() == 1);
    auto reborn = record;
    reborn.startedAtMs += 1000;
    table.put(reborn);
    CHECK(table.usable(model, testStart).size() == 2);
}

TEST_CASE_METHOD(BackendTableFixture,
    "Server that announced its shutdown, with its address reassigned, does not exclude the new one")
{
    auto record = table.find(first)->record;
    table.noteLeaving(lifetimeOf(record), { testStart, true });
    table.remove(first);
    record.id = BackendId("e3");
    table.put(record);
    CHECK(table.usable(model, testStart).size() == 2);
}

TEST_CASE_METHOD(
    BackendTableFixture, "Server that asked for backoffs, gets no new work until the longest one ends")
{
    const auto server = lifetimeOf(table.find(first)->record);
    CHECK(table.noteBackoff(server, Deadline(testStart + 2s), testStart));
    CHECK_FALSE(table.noteBackoff(server, Deadline(testStart + 1s), testStart));
    table.noteOutcome(first, BackendOutcome::Answered, testStart + 100ms);
    CHECK(table.usable(model, testStart + 1999ms).size() == 1);
    CHECK(table.usable(model, testStart + 2s).size() == 2);
    CHECK(table.noteBackoff(server, Deadline(testStart + 4s), testStart + 2s));
    CHECK(table.usable(model, testStart + 3s).size() == 1);
}

TEST_CASE_METHOD(BackendTableFixture, "Servers, all in backoff, are usable again when the first backoff ends")
{
    table.noteBackoff(lifetimeOf(table.find(first)->record), Deadline(testStart + 2s), testStart);
    table.noteBackoff(lifetimeOf(table.find(second)->record), Deadline(testStart + 1s), testStart);
    CHECK(table.usable(model, testStart).empty());
    CHECK(table.earliestBackoffEnd(model, testStart) == Deadline(testStart + 1s));
    CHECK_FALSE(table.earliestBackoffEnd(ServiceName("other"), testStart));
    CHECK_FALSE(table.earliestBackoffEnd(model, testStart + 3s));
}

TEST_CASE(
    "Engine that was ordered to another role gets no new work until it has the role or the time is over")
{
    BackendTable table;
    auto record = engineRecord("d1", EngineRole::Decode);
    table.put(record);
    table.put(engineRecord("d2", EngineRole::Decode, "a", 2));
    const auto usable
        = [&](EngineRole role, MonotonicTime now) { return table.usable(model, now, role).size(); };
    const RoleTransition transition { lifetimeOf(record), EngineRole::Prefill, Deadline(testStart + 5s) };
    CHECK(table.noteRoleTransition(transition, testStart));
    // Received again over another link.
    CHECK_FALSE(table.noteRoleTransition(transition, testStart + 1s));
    std::size_t position = 0;
    CHECK(table.roleTransitionsSince(position).size() == 1);
    CHECK(table.roleTransitionsSince(position).empty());
    CHECK(usable(EngineRole::Decode, testStart + 1s) == 1);
    CHECK(usable(EngineRole::Decode, testStart + 6s) == 2);
    record.role = EngineRole::Prefill;
    table.put(record);
    CHECK(usable(EngineRole::Prefill, testStart + 3s) == 1);
    // The transition does not apply to a later run of the engine.
    record.role = EngineRole::Decode;
    record.startedAtMs = 77;
    table.put(record);
    CHECK(usable(EngineRole::Decode, testStart + 3s) == 2);
}
