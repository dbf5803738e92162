#include "Authority/LeaseRunner.h"

#include "Support/FakeTable.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace almondscale;
using almondscale::test::FakeTable;

TEST_CASE("LeaseRunner, read by one thread while another renews and releases, returns consistent snapshots")
{
    FakeTable fake;
    std::atomic<std::int64_t> seconds { 1000 };
    LeaseSettings settings;
    LeaseRunner runner(Lease("lease/d/m", HostId("a"), Incarnation(1), settings), fake.table(),
        [&seconds] { return MonotonicTime(std::chrono::seconds(seconds)); });
    std::thread renewer([&] {
        for (int i = 0; i < 500; ++i) {
            ++seconds;
            while (runner.step()) { }
        }
        runner.release();
        while (runner.step()) { }
    });
    bool wrongNumber = false;
    while (!runner.lease().releaseDone()) {
        const auto lease = runner.lease();
        const MonotonicTime now(std::chrono::seconds(seconds.load()));
        wrongNumber = wrongNumber || (lease.holds(now) && lease.fencing() != FencingToken(1));
    }
    renewer.join();
    CHECK_FALSE(wrongNumber);
    CHECK(decodeLeaseRow(fake.rows().at("lease/d/m").value)->released);
}
