#include "platform/OrderCodec.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::platform;

TEST_CASE("Role order is encoded with holder, fencing token and the number of earlier orders")
{
    const auto order = encodeRoleOrder(
        { BackendId("i-1"), EngineRole::Prefill, HostId("node-7"), FencingToken(41), OrderNumber(2) });
    CHECK(*order.head.fields.find("Expect-Instance") == "i-1");
    CHECK(order.body
        == R"({"operation":"stage","stage":"prefill","holder":"node-7","fencingToken":41,"expected":2})");
}

TEST_CASE("Engine report is decoded with the role and whether an order is being carried out")
{
    const auto report = decodeReport(
        R"({"stage":"decode","busy":true,"sequence":2,"queued":1,"running":12,"kvUsed":41000})");
    REQUIRE(report);
    CHECK(report->role == EngineRole::Decode);
    CHECK(report->changing);
    CHECK(report->accepted == OrderNumber(2));
    CHECK_FALSE(decodeReport("{}"));
    CHECK_FALSE(decodeReport("nothing"));
}

TEST_CASE("Leaving server is recognized by the header of its response")
{
    HttpFields fields;
    CHECK_FALSE(platform::isServerLeaving(fields));
    fields.add("server-leaving", "1");
    CHECK(platform::isServerLeaving(fields));
    HttpFields stays;
    stays.add("Server-Leaving", "0");
    CHECK_FALSE(platform::isServerLeaving(stays));
}
