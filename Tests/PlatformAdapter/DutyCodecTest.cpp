#include "platform/DutyCodec.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::platform;

namespace {

const DutyStamp stamp { HostId("frontend-a-1"), FencingToken(12) };

} // namespace

TEST_CASE("Usage report names its holder, its fence and the counts of its window")
{
    const auto body = encodeUsageBody(
        UsageWindow(353445120), { { Organisation("hule930"), 412 }, { Organisation("fida11"), 7 } });
    CHECK(body == R"({"windowSeq":353445120,"counts":{"fida11":7,"hule930":412}})");
    const auto call = encodeUsageReport(stamp, body);
    CHECK(call.head.method == "POST");
    CHECK(call.head.target == "/usage");
    CHECK(*call.head.fields.find("Duty-Holder") == "frontend-a-1");
    CHECK(*call.head.fields.find("Fencing-Token") == "12");
    CHECK(call.body == body);
}

TEST_CASE("Window without requests is reported with no counts")
{
    CHECK(encodeUsageBody(UsageWindow(7), {}) == R"({"windowSeq":7,"counts":{}})");
}

TEST_CASE("Pool order names service, data centre and number, and spot only for spot servers")
{
    PoolOrder order { ServiceName("huvo11a"), DataCentre("plateau"), 6, false };
    CHECK(encodePoolOrder(stamp, order).body == R"({"service":"huvo11a","zone":"plateau","desiredCount":6})");
    CHECK(encodePoolOrder(stamp, order).head.target == "/scale");
    order.spot = true;
    CHECK(encodePoolOrder(stamp, order).body
        == R"({"service":"huvo11a","zone":"plateau","desiredCount":6,"spot":true})");
}
