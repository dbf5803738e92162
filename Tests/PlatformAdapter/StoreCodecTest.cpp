#include "platform/StoreCodec.h"

#include "platform/Base64.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::platform;
using namespace std::chrono_literals;

TEST_CASE("Base64 encoding and decoding preserves bytes of any length")
{
    for (const std::string bytes : { "", "n", "no", "nod", "node-1" })
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
    CHECK(encodeBase64("node-1") == "bm9kZS0x");
    CHECK_FALSE(decodeBase64("bm9"));
}

TEST_CASE("Rows are decoded")
{
    const auto rows = decodeRows(200,
        R"({"rows":[{"table":"t","part":"","key":"k","value":"bm9kZS0x","rowVersion":412},
            {"table":"t","part":"","key":"g","rowVersion":413,"deleted":true}],
            "hasMore":true,"rowVersion":530,"serverTimeMs":51230})");
    REQUIRE(rows.ok());
    REQUIRE(rows.value().rows.size() == 2);
    CHECK(rows.value().rows[0].value == "node-1");
    CHECK(rows.value().rows[0].version == RowVersion(412));
    CHECK(rows.value().rows[1].removed);
    CHECK(rows.value().newest.version == RowVersion(530));
    CHECK(rows.value().more);
}

TEST_CASE("Feed without history is distinguished from an unavailable store")
{
    REQUIRE(decodeRows(410, "").ok());
    CHECK(decodeRows(410, "").value().historyCompacted);
    CHECK(decodeRows(503, "").kind() == ErrorKind::PlatformUnavailable);
    CHECK(decodeRows(200, "no json").kind() == ErrorKind::PlatformUnavailable);
}

TEST_CASE("Known outcomes of a write are distinguished from unknown ones")
{
    CHECK(decodeWrite(200, R"({"rowVersion":7})").outcome == WriteOutcome::Applied);
    CHECK(decodeWrite(200, R"({"rowVersion":7})").version == RowVersion(7));
    CHECK(decodeWrite(503, "").outcome == WriteOutcome::NotApplied);
    CHECK(decodeWrite(429, "").outcome == WriteOutcome::NotApplied);
    CHECK(decodeWrite(500, "").outcome == WriteOutcome::Unknown);
    const auto lost = decodeWrite(412, R"({"rows":[{"key":"k","value":"bm9kZS0x","rowVersion":9}]})");
    CHECK(lost.outcome == WriteOutcome::Conflict);
    REQUIRE(lost.current.size() == 1);
    CHECK(lost.current[0].value == "node-1");
    CHECK(decodeWrite(412, R"({"rows":[]})").current.empty());
}

TEST_CASE("Conditional write is encoded with each row and its expected version")
{
    const auto request = encodeRowsWrite("t", { { "k", "node-1", RowVersion(4) } });
    CHECK(request.head.target == "/almondscale/rows-tx");
    CHECK(request.body
        == R"({"expected":[{"table":"t","part":"","key":"k","rowVersion":4}],)"
           R"("puts":[{"table":"t","part":"","key":"k","value":"bm9kZS0x"}],"remove":[]})");
}

TEST_CASE("Store calls are encoded with a percent-encoded target")
{
    CHECK(encodeRowsGet("a b", "k&1").head.target == "/almondscale/rows-get?table=a%20b&part=&from=k%261");
    CHECK(encodeRowsFeed("op", RowVersion(9), 800ms).head.target
        == "/almondscale/rows-feed?table=op&after=9&waitMs=800");
}

TEST_CASE("Row whose key is not UTF-8 is unreadable, and the other rows hold")
{
    const auto rows = decodeRows(200,
        "{\"rows\":[{\"key\":\"\xff\xfe\",\"value\":\"bm9kZS0x\",\"rowVersion\":1},"
        "{\"key\":\"k\",\"value\":\"bm9kZS0x\",\"rowVersion\":2}],\"rowVersion\":2}");
    REQUIRE(rows.ok());
    REQUIRE(rows.value().rows.size() == 2);
    CHECK(rows.value().rows[0].value.empty());
    CHECK(rows.value().rows[1].value == "node-1");
}
