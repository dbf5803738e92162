#include "platform/ManifestCodec.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::platform;
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

namespace {

const std::string withOrganisations
    = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","service":"s",)"
      R"("allowAnonymous":true}],"services":[{"name":"s","maxConnections":5,"autoscaling":{"min":1,"max":30,)"
      R"("bootTimeoutS":4.0,"spotPrice":0.22,"zonePrices":{"plateau":1.0,"almadies":0.8}}}],)"
      R"("tenants":[{"name":"hule930","apiKeys":["gjqnirth5mgjy5rcpihh","acruddedev3nax7u27gx"],"priority":1},)"
      R"({"name":"fida11","apiKeys":[]}]})";

} // namespace

TEST_CASE("Manifest with organisations gives their keys as digests, and pools")
{
    const auto manifest = decodeManifest(withOrganisations);
    REQUIRE(manifest);
    CHECK(manifest->routes[0].allowAnonymous);
    REQUIRE(manifest->organisations);
    REQUIRE(manifest->organisations->size() == 2);
    const auto& first = manifest->organisations->at(0);
    CHECK(first.name == Organisation("hule930"));
    CHECK(first.keys[1] == KeyDigest::of("acruddedev3nax7u27gx"));
    CHECK(first.priority == Priority(1));
    CHECK_FALSE(manifest->organisations->at(1).priority);
    const auto& pool = manifest->services.at(ServiceName("s")).pool;
    REQUIRE(pool);
    CHECK(pool->min == 1);
    CHECK(pool->max == 30);
    CHECK(pool->bootTime == std::chrono::seconds(4));
    CHECK(*pool->spotPrice == Approx(0.22));
    CHECK(pool->prices.at(DataCentre("almadies")) == Approx(0.8));
}

TEST_CASE("Manifest without its keys has none of them and decodes to the same organisations")
{
    const auto text = withoutKeys(withOrganisations);
    CHECK(text.find("gjqnirth5mgjy5rcpihh") == std::string::npos);
    CHECK(text.find("acruddedev3nax7u27gx") == std::string::npos);
    const auto manifest = decodeManifest(text);
    REQUIRE(manifest);
    CHECK(manifest->organisations->at(0).keys[0] == KeyDigest::of("gjqnirth5mgjy5rcpihh"));
    CHECK(withoutKeys(text) == text);
}

TEST_CASE("Manifest without organisations is left as it is, to the byte")
{
    const std::string text = R"({"version":7, "routes":[]})";
    CHECK(withoutKeys(text) == text);
    CHECK_FALSE(decodeManifest(text)->organisations);
    CHECK(withoutKeys("no json") == "no json");
}
