#include "Authority/OrderRunner.h"

#include "Support/FakeTable.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace almondscale;
using almondscale::test::FakeTable;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EngineId engine("e1");

// A host with its lease, one engine and the table, with a clock that only the test advances.
struct OrderFixture {
    FakeTable fake;
    MonotonicTime now { seconds(1000) };
    LeaseSettings leaseSettings;
    OrderSettings orderSettings;
    Lease lease { "lease/north/sorter", HostId("a"), Incarnation(1), leaseSettings };
    Lease successor { "lease/north/sorter", HostId("b"), Incarnation(1), leaseSettings };

    EngineState state;
    bool acknowledged = true;
    bool reachable = true;
    bool headOpen = false;
    EngineOrder opened;
    std::vector<std::string> calls;
    std::function<OrderAnswer()> onLastByte = [this] { return carryOut(); };

    OrderFixture()
    {
        state.role = "mixed";
        pass(leaseSettings.orderSettleTime + seconds(1), lease);
        REQUIRE(lease.mayIssueOrders(now));
    }

    void pass(Nanoseconds time, Lease& of)
    {
        for (const auto end = now + time; now < end; now += milliseconds(100)) {
            if (const auto due = of.nextCall(now))
                of.onAnswer(now, performCall(fake.table(), *due));
        }
    }

    OrderAnswer carryOut()
    {
        state.order = opened.order;
        state.fencing = opened.fencing;
        state.role = opened.value;
        return OrderAnswer::CarriedOut;
    }

    EngineOrderCallbacks callbacks()
    {
        EngineOrderCallbacks callbacks;
        callbacks.sendHead = [this](const EngineId&, const EngineOrder& order, Deadline) {
            calls.emplace_back("head");
            opened = order;
            headOpen = reachable;
            return reachable;
        };
        callbacks.sendLastByte = [this](const EngineId&, Deadline) {
            calls.emplace_back("last_byte");
            headOpen = false;
            return onLastByte();
        };
        callbacks.abandon = [this](const EngineId&) {
            calls.emplace_back("abandon");
            headOpen = false;
        };
        callbacks.readState = [this](const EngineId&, Deadline) {
            calls.emplace_back("read");
            return reachable ? std::optional<EngineState>(state) : std::nullopt;
        };
        callbacks.announceClosing
            = [this](const EngineId&, OrderNumber, Deadline) { calls.emplace_back("announce"); };
        callbacks.reopen = [this](const EngineId&, OrderNumber) { calls.emplace_back("reopen"); };
        callbacks.acknowledgedByAll = [this](const EngineId&, OrderNumber) { return acknowledged; };
        return callbacks;
    }

    OrderRunner runner(const std::string& role)
    {
        return { engine, OrderSequence(engine, OrderKind::Role, role, orderSettings), callbacks(),
            fake.table(), [this] { return now; }, seconds(1) };
    }

    // Runs the order to its end while renewing the lease.
    OrderResult run(OrderRunner& order)
    {
        for (int i = 0; i < 2000 && order.result() == OrderResult::None; ++i) {
            if (!order.step(lease))
                pass(milliseconds(100), lease);
        }
        return order.result();
    }

    bool called(const std::string& call) const
    {
        return std::find(calls.begin(), calls.end(), call) != calls.end();
    }

    EngineRow row() { return *decodeEngineRow(fake.rows().at(engineRowKey(engine)).value); }
};

} // namespace

TEST_CASE_METHOD(OrderFixture, "OrderSequence, nothing fails, announces, orders, reads back and reopens")
{
    auto order = runner("prefill");
    CHECK(run(order) == OrderResult::CarriedOut);
    CHECK(calls == std::vector<std::string> { "announce", "read", "head", "last_byte", "read", "reopen" });
    CHECK(row().finished);
    CHECK(row().order.order == OrderNumber(1));
    auto second = runner("decode");
    CHECK(run(second) == OrderResult::CarriedOut);
    CHECK(row().order.order == OrderNumber(2));
}

TEST_CASE_METHOD(OrderFixture, "OrderSequence, engine with requests in flight, gets no order")
{
    state.inFlight = 1;
    auto order = runner("prefill");
    CHECK(run(order) == OrderResult::Expired);
    CHECK_FALSE(called("head"));
    CHECK(calls.back() == "reopen");
}

TEST_CASE_METHOD(OrderFixture, "OrderSequence, host that has not acknowledged the closing, blocks the order")
{
    acknowledged = false;
    auto order = runner("prefill");
    CHECK(run(order) == OrderResult::Expired);
    CHECK_FALSE(called("head"));
}

TEST_CASE_METHOD(OrderFixture, "OrderSequence, intent that cannot be written, sends nothing to the engine")
{
    fake.down = true;
    auto order = runner("prefill");
    CHECK(run(order) != OrderResult::CarriedOut);
    CHECK(calls.empty());
}

TEST_CASE_METHOD(OrderFixture, "OrderSequence, engine crashes while executing the order, sends it again")
{
    int crashes = 0;
    onLastByte = [&] {
        if (++crashes == 1) {
            state.boot += 1;
            return OrderAnswer::NoAnswer;
        }
        return carryOut();
    };
    auto order = runner("prefill");
    CHECK(run(order) == OrderResult::CarriedOut);
    CHECK(crashes == 2);
    CHECK(state.role == "prefill");
}

TEST_CASE_METHOD(OrderFixture, "OrderSequence, answer to the order lost, confirms it from the engine's state")
{
    int sent = 0;
    onLastByte = [&] {
        ++sent;
        carryOut();
        return OrderAnswer::NoAnswer;
    };
    auto order = runner("prefill");
    CHECK(run(order) == OrderResult::CarriedOut);
    CHECK(sent == 1);
}

TEST_CASE_METHOD(OrderFixture, "OrderSequence, engine that saw a higher fencing number, ends the order")
{
    onLastByte = [] { return OrderAnswer::StaleFencing; };
    auto order = runner("prefill");
    CHECK(run(order) == OrderResult::LostAuthority);
    CHECK(calls.back() == "reopen");
}

TEST_CASE_METHOD(OrderFixture, "OrderSequence, answers to the intent's writes lost, still issues one order")
{
    fake.loseWriteAnswers = GENERATE(1, 2);
    auto order = runner("prefill");
    CHECK(run(order) == OrderResult::CarriedOut);
    CHECK(row().order.order == OrderNumber(1));
}

TEST_CASE_METHOD(OrderFixture,
    "OrderSequence, holder paused after any step until its lease expired, does not send the last byte")
{
    const int pausedAfter = GENERATE(range(0, 8));
    auto order = runner("prefill");
    for (int i = 0; i < pausedAfter && order.result() == OrderResult::None; ++i)
        order.step(lease);
    const bool sent = called("last_byte");
    const auto role = state.role;
    now += leaseSettings.duration;
    while (!successor.mayIssueOrders(now))
        pass(milliseconds(100), successor);
    // The former holder resumes with its old lease state and continues the order.
    for (int i = 0; i < 20; ++i)
        order.step(lease);
    CHECK(called("last_byte") == sent);
    CHECK(state.role == role);
    CHECK_FALSE(headOpen);
    CHECK(order.result() != OrderResult::None);
}

TEST_CASE_METHOD(
    OrderFixture, "OrderSequence, holder gone after writing its intent, leaves the order to the successor")
{
    auto order = runner("prefill");
    while (!called("announce"))
        order.step(lease);
    const auto left = unfinishedOrder(row(), state);
    REQUIRE(left);
    CHECK(left->value == "prefill");
    now += leaseSettings.duration;
    while (!successor.mayIssueOrders(now))
        pass(milliseconds(100), successor);
    std::swap(lease, successor);
    auto again = runner(left->value);
    CHECK(run(again) == OrderResult::CarriedOut);
    CHECK(row().order.fencing == FencingToken(2));
    CHECK(row().order.order == OrderNumber(2));
    CHECK_FALSE(unfinishedOrder(row(), state));
}

TEST_CASE_METHOD(
    OrderFixture, "OrderSequence, lease lost and acquired again by the same host, abandons the old order")
{
    auto order = runner("prefill");
    while (!called("announce"))
        order.step(lease);
    now += leaseSettings.duration;
    while (!successor.mayIssueOrders(now))
        pass(milliseconds(100), successor);
    pass(seconds(1), lease);
    successor.release();
    pass(milliseconds(200), successor);
    while (!lease.mayIssueOrders(now))
        pass(milliseconds(100), lease);
    REQUIRE(lease.fencing() == FencingToken(3));
    for (int i = 0; i < 20; ++i)
        order.step(lease);
    CHECK(order.result() == OrderResult::LostAuthority);
    CHECK_FALSE(called("last_byte"));
}
