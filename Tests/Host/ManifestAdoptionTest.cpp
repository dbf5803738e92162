#include "ManifestAdoption.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

std::string manifest(int version, const std::string& service = "desk")
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"read","host":"h","pathPrefix":"/read/","kind":"safe","timeoutMs":3000,)"
          R"("targetLatencyMs":500,"priority":1,"service":")"
        + service + R"(","maxAttempts":2}],"services":[{"name":")" + service
        + R"(","healthPath":"/healthz","maxConnections":200,"protocol":"h1","tls":false}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

class ManifestAdoptionFixture {
public:
    explicit ManifestAdoptionFixture(Deadline waitUntil = {})
        : adoption(routes, freshness, {}, waitUntil,
            { [this] { return copy; }, [this] { return hasHeardHost; },
                [this](bool fromHost) { adoptedFromHost.push_back(fromHost); } })
    {
        freshness.onEra(StoreEra(1), now);
    }

    void copyBecomes(StoreVersion version, const std::string& text)
    {
        StoredRows rows;
        rows.whole = true;
        rows.newest = version;
        rows.rows = { { "config", text, version.version, false } };
        copy = rows;
        adoption.onRows(rows, now);
    }

    // Whether a read of the copy proves the manifest in force.
    bool proves() { return freshness.onRead(now, copy->newest, copy->newest); }

    MonotonicTime now { 1h };
    RouteTable routes;
    ManifestFreshness freshness { { true, 5s, 2s }, 2s, now, true };
    std::optional<StoredRows> copy;
    bool hasHeardHost = false;
    std::vector<bool> adoptedFromHost;
    ManifestAdoption adoption;
};

class RestartedHostFixture : public ManifestAdoptionFixture {
public:
    RestartedHostFixture()
        : ManifestAdoptionFixture(Deadline::after(MonotonicTime(1h), 600ms))
    {
    }
};

} // namespace

TEST_CASE_METHOD(ManifestAdoptionFixture, "Manifest of the copy comes into force and is not passed on")
{
    copyBecomes({ StoreEra(1), RowVersion(3) }, manifest(1));
    CHECK(routes.version() == 1);
    CHECK(adoption.copyInForce());
    CHECK_FALSE(adoption.superseding());
    CHECK(proves());
    CHECK_FALSE(adoption.onManifest(manifest(1, "other")));
    CHECK_FALSE(adoption.onManifest("{"));
    CHECK(adoptedFromHost == std::vector<bool> { false });
}

TEST_CASE_METHOD(
    ManifestAdoptionFixture, "Manifest that a restored store has lost is passed on until it is written again")
{
    copyBecomes({ StoreEra(1), RowVersion(3) }, manifest(2));
    freshness.onEra(StoreEra(2), now);
    now += 3s;
    copyBecomes({ StoreEra(2), RowVersion(2) }, manifest(1));
    CHECK(routes.version() == 2);
    CHECK_FALSE(proves());
    REQUIRE(adoption.superseding());
    CHECK(*adoption.superseding() == manifest(2));
    copyBecomes({ StoreEra(2), RowVersion(4) }, manifest(2));
    CHECK_FALSE(adoption.superseding());
    CHECK(proves());
}

// Guards against a host without memory that follows a restored store, beside hosts that have a newer
// manifest.
TEST_CASE_METHOD(RestartedHostFixture, "Host that was restarted adopts what other hosts have in force first")
{
    copyBecomes({ StoreEra(2), RowVersion(2) }, manifest(1));
    CHECK(routes.empty());
    CHECK_FALSE(adoption.poll(now + 500ms));
    CHECK(adoption.onManifest(manifest(2)));
    hasHeardHost = true;
    CHECK(adoption.poll(now + 500ms));
    CHECK(routes.version() == 2);
    CHECK_FALSE(adoption.copyInForce());
    CHECK(*adoption.superseding() == manifest(2));
    CHECK(adoptedFromHost == std::vector<bool> { true });
}

TEST_CASE_METHOD(RestartedHostFixture, "Host that was restarted alone follows the store after a short time")
{
    CHECK_FALSE(adoption.poll(now));
    copyBecomes({ StoreEra(2), RowVersion(2) }, manifest(1));
    CHECK(routes.empty());
    CHECK(adoption.poll(now + 600ms));
    CHECK(routes.version() == 1);
    copyBecomes({ StoreEra(2), RowVersion(3) }, manifest(2));
    CHECK(routes.version() == 2);
}
