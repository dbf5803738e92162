#include "Dispatch/AttemptLedger.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("AttemptLedger, an attempt that has ended, belongs to no request")
{
    AttemptLedger ledger(HostId("h1"), Incarnation(7));
    const auto first = ledger.start(RequestId("r1"));
    const auto second = ledger.start(RequestId("r2"));
    CHECK(ledger.request(first) == RequestId("r1"));
    CHECK(ledger.request(second) == RequestId("r2"));
    ledger.finish(first);
    CHECK_FALSE(ledger.request(first));
    CHECK(ledger.request(second) == RequestId("r2"));
    CHECK(ledger.size() == 1);
}

TEST_CASE("AttemptLedger, another host or incarnation, gives other ids")
{
    const RequestId request("r");
    const auto id = AttemptLedger(HostId("h1"), Incarnation(1)).start(request);
    CHECK(AttemptLedger(HostId("h1"), Incarnation(2)).start(request) != id);
    CHECK(AttemptLedger(HostId("h2"), Incarnation(1)).start(request) != id);
}
