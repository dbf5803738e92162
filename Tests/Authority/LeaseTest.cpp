#include "Authority/Lease.h"

#include "Support/FakeTable.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>

using namespace almondscale;
using almondscale::test::FakeTable;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string rowKey = leaseRowKey(DataCentre("north"), ModelName("sorter"));

// Two hosts that contend for one lease.
struct LeaseFixture {
    FakeTable fake;
    LeaseSettings settings;
    MonotonicTime now { seconds(1000) };
    StoreEra era;
    Lease a { rowKey, HostId("a"), Incarnation(1), settings };
    Lease b { rowKey, HostId("b"), Incarnation(1), settings };

    void call(Lease& lease)
    {
        const auto due = lease.nextCall(now);
        if (!due)
            return;
        auto answer = performCall(fake.table(), *due);
        answer.era = era;
        lease.onAnswer(now, answer);
    }

    void pass(Nanoseconds time, std::initializer_list<Lease*> running)
    {
        for (const auto end = now + time; now < end; now += milliseconds(100)) {
            for (auto* lease : running)
                call(*lease);
        }
    }

    void acquireForA()
    {
        pass(settings.orderSettleTime + seconds(1), { &a });
        REQUIRE(a.mayIssueOrders(now));
    }
};

} // namespace

TEST_CASE_METHOD(LeaseFixture, "Lease, two hosts and an available table, stays with the first")
{
    acquireForA();
    for (int i = 0; i < 600; ++i) {
        pass(milliseconds(100), { &a, &b });
        REQUIRE(a.mayIssueOrders(now));
        REQUIRE_FALSE(b.holds(now));
    }
    CHECK(a.fencing() == FencingToken(1));
}

TEST_CASE_METHOD(LeaseFixture, "Lease, renewal answered late, is valid from before it was sent")
{
    acquireForA();
    auto due = a.nextCall(now);
    while (!due) {
        now += milliseconds(100);
        due = a.nextCall(now);
    }
    const auto sentAt = now;
    now += seconds(5);
    a.onAnswer(now, performCall(fake.table(), *due));
    CHECK(a.validUntil() == Deadline::after(sentAt, settings.duration - settings.clockDriftMargin));
    CHECK(a.holds(sentAt + settings.duration - settings.clockDriftMargin - milliseconds(1)));
    CHECK_FALSE(a.holds(sentAt + settings.duration - settings.clockDriftMargin));
}

TEST_CASE_METHOD(
    LeaseFixture, "Lease, holder stops, passes to the successor with a higher fencing number and a wait")
{
    acquireForA();
    pass(settings.watchInterval, { &a, &b });
    const auto stopped = now;
    const auto end = a.validUntil().at();
    while (!b.holds(now) && now < stopped + seconds(60))
        pass(milliseconds(100), { &b });
    REQUIRE(b.holds(now));
    CHECK(now >= end);
    CHECK(b.fencing() == FencingToken(2));
    CHECK_FALSE(b.mayIssueOrders(now));
    const auto acquired = now;
    pass(settings.orderSettleTime, { &b });
    CHECK(b.mayIssueOrders(now));
    CHECK(now - acquired >= settings.orderSettleTime);
    // The former holder resumes.
    CHECK_FALSE(a.holds(now));
    pass(seconds(30), { &a, &b });
    CHECK_FALSE(a.holds(now));
    CHECK(b.fencing() == FencingToken(2));
}

TEST_CASE_METHOD(
    LeaseFixture, "Lease, table down past the lease's end, expires and is then renewed by the same holder")
{
    acquireForA();
    fake.down = true;
    pass(settings.duration * 2, { &a, &b });
    CHECK_FALSE(a.holds(now));
    CHECK_FALSE(b.holds(now));
    fake.down = false;
    pass(settings.retryInterval + milliseconds(100), { &a });
    CHECK(a.holds(now));
    CHECK(a.fencing() == FencingToken(1));
}

TEST_CASE_METHOD(LeaseFixture, "Lease, answer of the acquisition lost, is read back and waits before orders")
{
    fake.loseWriteAnswers = 1;
    pass(seconds(1), { &a });
    CHECK(a.holds(now));
    CHECK_FALSE(a.mayIssueOrders(now));
    CHECK(a.fencing() == FencingToken(1));
}

TEST_CASE_METHOD(LeaseFixture, "Lease, acquisition applied after a second one was sent, waits before orders")
{
    call(a);
    const auto first = a.nextCall(now);
    REQUIRE(first);
    TableAnswer lost;
    a.onAnswer(now, lost);
    // The row is still absent when it is read back, and the second write conflicts with the first.
    call(a);
    const auto second = a.nextCall(now);
    REQUIRE(second);
    performCall(fake.table(), *first);
    a.onAnswer(now, performCall(fake.table(), *second));
    call(a);
    pass(settings.renewInterval, { &a });
    CHECK(a.holds(now));
    CHECK_FALSE(a.mayIssueOrders(now));
}

TEST_CASE_METHOD(
    LeaseFixture, "Lease, released by its holder, is acquired at once and still waits before orders")
{
    acquireForA();
    a.release();
    CHECK_FALSE(a.holds(now));
    call(a);
    CHECK(a.releaseDone());
    pass(settings.watchInterval, { &b });
    CHECK(b.holds(now));
    CHECK_FALSE(b.mayIssueOrders(now));
    CHECK(b.fencing() == FencingToken(2));
}

TEST_CASE_METHOD(
    LeaseFixture, "Lease, released while its acquisition is in flight, is released once the outcome is known")
{
    call(a);
    const auto acquisition = a.nextCall(now);
    REQUIRE(acquisition);
    a.release();
    CHECK_FALSE(a.releaseDone());
    a.onAnswer(now, performCall(fake.table(), *acquisition));
    CHECK_FALSE(a.releaseDone());
    call(a);
    CHECK(a.releaseDone());
    CHECK(decodeLeaseRow(fake.rows().at(rowKey).value)->released);
}

TEST_CASE_METHOD(LeaseFixture, "Lease, host replaced under the same name, is not treated as its predecessor")
{
    acquireForA();
    Lease replaced(rowKey, HostId("a"), Incarnation(2), settings);
    pass(seconds(5), { &replaced });
    CHECK_FALSE(replaced.holds(now));
    pass(settings.duration, { &replaced });
    CHECK(replaced.holds(now));
    CHECK(replaced.fencing() == FencingToken(2));
}

namespace {

// The store comes back from an older copy of itself, in a new era.
struct EraFixture : LeaseFixture {
    EraFixture()
    {
        settings.orderSettleTime = settings.duration + milliseconds(300);
        a = Lease(rowKey, HostId("a"), Incarnation(1), settings);
        b = Lease(rowKey, HostId("b"), Incarnation(1), settings);
        era = StoreEra(1);
        acquireForA();
    }

    void restore(std::map<std::string, TableRow> copy)
    {
        fake.setRows(std::move(copy));
        era = era + StoreEra(1);
    }

    // Runs the hosts and checks that one may issue orders at a time, each with a number of its own.
    void passAndCheck(Nanoseconds time, std::initializer_list<Lease*> running)
    {
        for (const auto end = now + time; now < end;) {
            pass(milliseconds(100), running);
            REQUIRE_FALSE((a.mayIssueOrders(now) && b.mayIssueOrders(now)));
            for (auto* lease : { &a, &b }) {
                if (!lease->mayIssueOrders(now))
                    continue;
                REQUIRE(highest <= lease->fencing());
                REQUIRE((lease->fencing() != highest || lease == holder));
                highest = lease->fencing();
                holder = lease;
            }
        }
    }

    FencingToken highest;
    Lease* holder = nullptr;
};

} // namespace

// Guards against a fencing number that two holders use, one before and one after the store lost a row.
TEST_CASE_METHOD(EraFixture, "Lease, row lost with an era, passes on with a fencing number not used before")
{
    passAndCheck(seconds(1), { &a });
    restore({});
    const bool isCut = GENERATE(true, false);
    if (isCut)
        passAndCheck(seconds(60), { &b });
    else
        passAndCheck(seconds(60), { &b, &a });
    CHECK(b.mayIssueOrders(now));
    CHECK(FencingToken(std::uint64_t(2) << 32U) < b.fencing());
}

TEST_CASE_METHOD(EraFixture, "Lease, older row of a former holder restored, is not resumed by it")
{
    const auto copy = fake.rows();
    passAndCheck(settings.duration * 3, { &b });
    REQUIRE(b.mayIssueOrders(now));
    restore(copy);
    passAndCheck(seconds(80), { &a, &b });
    CHECK((a.mayIssueOrders(now) || b.mayIssueOrders(now)));
    CHECK(FencingToken(std::uint64_t(2) << 32U) < highest);
}

TEST_CASE_METHOD(EraFixture, "Lease, older row of its holder restored, is held again after a lease's time")
{
    const auto copy = fake.rows();
    passAndCheck(settings.renewInterval * 2, { &a, &b });
    restore(copy);
    passAndCheck(settings.duration + settings.orderSettleTime + settings.watchInterval * 2, { &a, &b });
    CHECK((a.mayIssueOrders(now) || b.mayIssueOrders(now)));
}

TEST_CASE_METHOD(EraFixture, "Lease, store restored again and again, never has two holders or a lower number")
{
    const auto copy = fake.rows();
    for (int i = 0; i < 40; ++i) {
        passAndCheck(seconds(1 + i * 7 % 23), { &a, &b });
        restore(i % 3 == 0 ? std::map<std::string, TableRow>() : i % 3 == 1 ? copy : fake.rows());
    }
}
