#include "platform/ManifestCodec.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

const std::string text = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"stream","timeoutMs":3000,"targetLatencyMs":1200,
   "priority":1,"service":"s1","maxAttempts":1,"sticky":true,"resumable":false,"targetGapMs":400},
  {"name":"r2","host":"h.example","pathPrefix":"/b/","kind":"safe","timeoutMs":500,"targetLatencyMs":100,
   "priority":2,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2},
  {"name":"r3","host":"h.example","pathPrefix":"/c/","kind":"new-kind","service":"s2"},
  {"name":"r4","host":"h.example","pathPrefix":"/d/","kind":"safe"}],
 "services":[{"name":"s1","maxConnections":370,"engine":{"slots":64,"kvCapacityTokens":430067,
   "tokenKvBytes":18432,"handleTtlS":5.0,"roleSwitchS":3.0}},{"name":"s2","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

StoredRow manifestRow(int version, std::uint64_t rowVersion)
{
    return { "config", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})",
        RowVersion(rowVersion), false };
}

} // namespace

TEST_CASE("Manifest is decoded with units")
{
    const auto manifest = platform::decodeManifest(text);
    REQUIRE(manifest);
    CHECK(manifest->version == 7);
    REQUIRE(manifest->routes.size() == 3);
    CHECK(manifest->routes[0].kind == RouteKind::Stream);
    CHECK(manifest->routes[0].timeout == 3s);
    CHECK_FALSE(manifest->routes[0].repeatable());
    CHECK(manifest->routes[1].shares.size() == 2);
    CHECK(manifest->routes[1].repeatable());
    const auto& engine = manifest->services.at(ServiceName("s1")).engine;
    REQUIRE(engine);
    CHECK(engine->handleLifetime == 5s);
    CHECK(engine->roleChangeTime == 3s);
    CHECK_FALSE(manifest->services.at(ServiceName("s2")).engine);
    CHECK(manifest->limits.maxBody == ByteCount(1000));
}

TEST_CASE("Route of an unknown kind is decoded as unsafe to repeat")
{
    CHECK(platform::decodeManifest(text)->routes[2].kind == RouteKind::Unsafe);
}

TEST_CASE("Invalid manifest is decoded as no value")
{
    CHECK_FALSE(platform::decodeManifest("\xff\xfe"));
    CHECK_FALSE(platform::decodeManifest("[]"));
    CHECK_FALSE(platform::decodeManifest(R"({"version":7})"));
}

TEST_CASE("Manifest that was written twice between two reads is the newest one")
{
    StoredRows rows;
    rows.rows = { manifestRow(5, 57), manifestRow(9, 59) };
    const auto reading = platform::decodeManifestRows(rows);
    REQUIRE(reading.manifest);
    CHECK(reading.manifest->version == 9);
    CHECK_FALSE(reading.unreadable);
}

TEST_CASE("Invalid newest manifest row is reported and the newest valid manifest is used")
{
    StoredRows rows;
    rows.rows = { manifestRow(5, 57), manifestRow(9, 59) };
    rows.rows.back().value = "{\"version\":";
    const auto reading = platform::decodeManifestRows(rows);
    REQUIRE(reading.manifest);
    CHECK(reading.manifest->version == 5);
    CHECK(reading.unreadable == RowVersion(59));
}
