#include "Serving/RoleSplit.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class RoleSplitFixture {
public:
    RoleSplitFixture()
        : split(table)
    {
        for (int i = 0; i < 9; ++i)
            set(i, i < 4 ? EngineRole::Prefill : EngineRole::Decode);
        busy.requests = 40;
    }

    void set(int engine, EngineRole role)
    {
        table.put(engineRecord("e" + std::to_string(engine), role, std::string(1, "abc"[engine % 3]),
            static_cast<std::uint16_t>(engine + 1)));
    }

    // Reports the orders as sent and applies them at once.
    int apply(const std::vector<RoleAssignment>& orders, MonotonicTime now)
    {
        return apply(split, orders, now);
    }

    int apply(RoleSplit& to, const std::vector<RoleAssignment>& orders, MonotonicTime now)
    {
        for (const auto& order : orders) {
            to.onOrdered(order, now);
            auto record = table.find(order.engine)->record;
            record.role = order.role;
            table.put(record);
        }
        return static_cast<int>(orders.size());
    }

    int decoding() const
    {
        int count = 0;
        for (const auto& entry : table.all())
            count += entry.second.record.role == EngineRole::Decode ? 1 : 0;
        return count;
    }

    BackendTable table;
    RoleSplit split;
    EngineDemand busy;
};

} // namespace

TEST_CASE_METHOD(RoleSplitFixture, "Split, before any traffic, orders all changes at once and then none")
{
    CHECK(apply(split.decide(model, EngineDemand(), testStart), testStart) == 3);
    CHECK(decoding() == 2);
    CHECK(split.decide(model, EngineDemand(), testStart + 1s).empty());
}

TEST_CASE_METHOD(
    RoleSplitFixture, "Split, under traffic, waits for a lasting surplus and changes one engine at a time")
{
    CHECK(split.decide(model, busy, testStart).empty());
    CHECK(split.decide(model, busy, testStart + 2s).empty());
    CHECK(apply(split.decide(model, busy, testStart + 6s), testStart + 6s) == 1);
    CHECK(split.decide(model, busy, testStart + 8s).empty());
    CHECK(apply(split.decide(model, busy, testStart + 12s), testStart + 12s) == 1);
}

TEST_CASE_METHOD(RoleSplitFixture, "Split, with one additional decode engine for a while, changes no roles")
{
    apply(split.decide(model, EngineDemand(), testStart), testStart);
    REQUIRE(split.decide(model, busy, testStart + 1s).empty());
    set(9, EngineRole::Decode);
    CHECK(split.decide(model, busy, testStart + 20s).empty());
    CHECK(split.decide(model, busy, testStart + 22s).empty());
    // One of the earlier engines is shutting down.
    for (const auto& entry : std::map<BackendId, Backend>(table.all())) {
        auto leaving = entry.second.record;
        if (leaving.role != EngineRole::Decode || leaving.id == BackendId("e9"))
            continue;
        leaving.draining = true;
        table.put(leaving);
        break;
    }
    CHECK(split.decide(model, busy, testStart + 40s).empty());
    CHECK(decoding() == 3);
}

TEST_CASE_METHOD(RoleSplitFixture,
    "Split, with a data centre's registrations expired, turns no decode engine of the others")
{
    apply(split.decide(model, EngineDemand(), testStart), testStart);
    REQUIRE(split.decide(model, busy, testStart + 1s).empty());
    for (const auto& entry : std::map<BackendId, Backend>(table.all())) {
        if (entry.second.record.role == EngineRole::Prefill && table.all().size() > 4)
            table.remove(entry.first);
    }
    for (int second = 2; second < 11; ++second)
        CHECK(split.decide(model, busy, testStart + second * 1s).empty());
    // Some of the engines do not reappear.
    CHECK(split.decide(model, busy, testStart + 20s).empty());
    CHECK(split.decide(model, busy, testStart + 26s).size() == 1);
}

TEST_CASE_METHOD(
    RoleSplitFixture, "Split, short of a decode engine right after an order, does not wait for the cooldown")
{
    apply(split.decide(model, EngineDemand(), testStart), testStart);
    split.onOrdered({ BackendId("e0"), EngineRole::Prefill }, testStart + 10s);
    for (const auto& entry : std::map<BackendId, Backend>(table.all())) {
        if (entry.second.record.role == EngineRole::Decode) {
            table.remove(entry.first);
            break;
        }
    }
    CHECK(split.decide(model, busy, testStart + 11s).empty());
    CHECK(split.decide(model, busy, testStart + 13s).size() == 1);
}

TEST_CASE_METHOD(RoleSplitFixture, "Split, with an order in progress, does not repeat it before its timeout")
{
    for (const auto& order : split.decide(model, EngineDemand(), testStart))
        split.onOrdered(order, testStart);
    CHECK(split.decide(model, EngineDemand(), testStart + 5s).empty());
    CHECK(split.decide(model, EngineDemand(), testStart + 10s).size() == 3);
}

TEST_CASE_METHOD(RoleSplitFixture, "Split, after the last decode engines crashed, turns a prefill engine")
{
    apply(split.decide(model, EngineDemand(), testStart), testStart);
    REQUIRE(split.decide(model, busy, testStart + 1s).empty());
    for (const auto& entry : std::map<BackendId, Backend>(table.all())) {
        if (entry.second.record.role == EngineRole::Decode)
            table.remove(entry.first);
    }
    const auto later = testStart + 20s;
    CHECK(split.decide(model, busy, later).empty());
    const auto orders = split.decide(model, busy, later + 3s);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].role == EngineRole::Decode);
}

TEST_CASE_METHOD(
    RoleSplitFixture, "Split of a fleet far larger than its demand orders nothing until demand grows")
{
    for (int i = 0; i < 290; ++i)
        set(i, i % 9 < 4 ? EngineRole::Prefill : EngineRole::Decode);
    const int decodingBefore = decoding();
    CHECK(split.decide(model, EngineDemand(), testStart).empty());
    // 13 prompts per second of 100 ms each.
    EngineDemand small;
    small.requests = 13;
    small.prefillMs = 1300;
    for (int second = 1; second < 20; ++second)
        CHECK(split.decide(model, small, testStart + second * 1s).empty());
    // 50 % utilisation of the prefill engines.
    EngineDemand large;
    large.requests = 600;
    large.prefillMs = 500 * (290 - decodingBefore);
    CHECK(split.decide(model, large, testStart + 20s).empty());
    // In a fleet of this size, several engines change at a time.
    CHECK(apply(split.decide(model, large, testStart + 24s), testStart + 24s) == 29);
}

TEST_CASE_METHOD(
    RoleSplitFixture, "Split of a fleet whose engines came back as decode engines turns them again")
{
    for (int i = 0; i < 60; ++i)
        set(i, i < 40 ? EngineRole::Prefill : EngineRole::Decode);
    // Half of the demand of a quiet day at the grown site.
    EngineDemand ordinary;
    ordinary.requests = 60;
    ordinary.prefillMs = 2300;
    CHECK(split.decide(model, ordinary, testStart).empty());
    CHECK(apply(split.decide(model, ordinary, testStart + 4s), testStart + 4s) == 1);
}

TEST_CASE_METHOD(
    RoleSplitFixture, "Split, with engines that announced their shutdown, orders and counts the others")
{
    for (int i = 4; i < 7; ++i)
        table.noteLeaving(
            lifetimeOf(table.find(BackendId("e" + std::to_string(i)))->record), { testStart, true });
    // Four prefill and two decode engines remain.
    CHECK(split.decide(model, EngineDemand(), testStart).empty());
}

TEST_CASE("Split of a fleet, of any size, leaves an engine for each role")
{
    const BackendTable empty;
    const RoleSplit split(empty);
    EngineDemand longPrompts;
    longPrompts.requests = 100;
    longPrompts.prefillMs = 50000;
    longPrompts.decodeMs = 10;
    EngineDemand longAnswers;
    longAnswers.requests = 100;
    longAnswers.prefillMs = 10;
    longAnswers.decodeMs = 5e6;
    for (const auto& demand : { EngineDemand(), longPrompts, longAnswers }) {
        for (const double slots : { 8, 16, 64 }) {
            CHECK(split.decodeTarget(1, slots, demand, 0) == 0);
            CHECK(split.decodeTarget(1, slots, demand, 1) == 0);
            for (int engines = 2; engines <= 90; ++engines) {
                for (const int decoding : { 0, 1, engines / 2, engines }) {
                    CHECK(split.decodeTarget(engines, slots, demand, decoding) >= 1);
                    CHECK(split.decodeTarget(engines, slots, demand, decoding) < engines);
                }
            }
        }
    }
}

TEST_CASE("Split of a fleet with few slots, with many short answers, approaches what both roles need")
{
    const BackendTable empty;
    const RoleSplit split(empty);
    // 211 short requests per second and 25 long ones that occupy 68 slots, on 18 engines of 16 slots.
    EngineDemand demand;
    demand.requests = 236;
    demand.decodeMs = 68000;
    demand.prefillMs = 5300;
    const int target = split.decodeTarget(18, 16, demand, 4);
    CHECK(target >= 7);
    CHECK(target <= 9);
    // Engines with 64 slots need the minimum for the same demand.
    CHECK(split.decodeTarget(18, 64, demand, 2) <= 4);
}

TEST_CASE("Split of a fleet whose mix changes to long prompts turns decode engines back")
{
    const BackendTable empty;
    const RoleSplit split(empty);
    EngineDemand demand;
    demand.requests = 100;
    demand.decodeMs = 50000;
    demand.prefillMs = 9000;
    CHECK(split.decodeTarget(18, 16, demand, 10) < 8);
    // If neither role is busy, a role change is not worth its cost.
    demand.prefillMs = 2000;
    demand.decodeMs = 20000;
    CHECK(split.decodeTarget(18, 16, demand, 10) == 10);
}

TEST_CASE_METHOD(
    RoleSplitFixture, "Split, with its decode engines limited far below the demand, turns engines without")
{
    apply(split.decide(model, EngineDemand(), testStart), testStart);
    REQUIRE(decoding() == 2);
    EngineDemand demand;
    demand.requests = 30;
    demand.prefillMs = 900;
    demand.decodeMs = 9000;
    REQUIRE(split.decide(model, demand, testStart + 1s).empty());
    for (const auto& entry : table.all()) {
        if (entry.second.record.role == EngineRole::Decode)
            table.limits().noteResponse(
                lifetimeOf(entry.second.record), RequestRate(5), testStart + 1s, testStart + 2s);
    }
    CHECK(split.decide(model, demand, testStart + 2s).empty());
    const auto orders = split.decide(model, demand, testStart + 4s);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].role == EngineRole::Decode);
    apply(orders, testStart + 4s);
    CHECK(split.decide(model, demand, testStart + 20s).empty());
}

TEST_CASE_METHOD(RoleSplitFixture,
    "Split, with a mix that alternates faster than a role change, changes no roles after its first turns")
{
    EngineDemand longPrompts = busy;
    longPrompts.prefillMs = 5500;
    longPrompts.decodeMs = 20000;
    EngineDemand longAnswers = busy;
    longAnswers.prefillMs = 700;
    longAnswers.decodeMs = 330000;
    const auto ordersAfterFirstTurns = [&](RoleSplitOptions options) {
        RoleSplit own(table, options);
        int late = 0;
        for (int step = 0; step < 200; ++step) {
            const auto now = testStart + step * 200ms;
            const bool answers = (step / 14) % 2 == 1;
            const int orders = apply(own, own.decide(model, answers ? longAnswers : longPrompts, now), now);
            late += step < 42 ? 0 : orders;
        }
        return late;
    };
    CHECK(ordersAfterFirstTurns({}) == 0);
    // The mix is one that would be followed otherwise.
    RoleSplitOptions following;
    following.alternatingDwell = {};
    CHECK(ordersAfterFirstTurns(following) > 0);
}

TEST_CASE_METHOD(
    RoleSplitFixture, "Split, with engines of uneven speed, turns a slow one to decode and counts it as less")
{
    busy.prefillMs = 400;
    busy.decodeMs = 250000;
    for (int i = 0; i < 9; ++i)
        table.setFactors(BackendId("e" + std::to_string(i)), { 1, 1, i == 3 ? 1.6 : 1, i == 3 ? 1.6 : 1 });
    // The candidates e0 and e3 are in the same data centre.
    split.decide(model, busy, testStart);
    const auto orders = split.decide(model, busy, testStart + 2s);
    REQUIRE_FALSE(orders.empty());
    CHECK(orders.front().role == EngineRole::Decode);
    CHECK(orders.front().engine == BackendId("e3"));
    // Decode engines at half of the speed are fewer than they are.
    const LimitedCapacity slow { 0, 2.5 };
    busy.prefillMs = 3000;
    CHECK(split.decodeTarget(9, 64, busy, 5, slow) > split.decodeTarget(9, 64, busy, 5));
}
