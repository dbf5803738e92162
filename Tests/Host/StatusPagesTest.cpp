#include "StatusPages.h"

#include "HostMetrics.h"

#include "Http/Json.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// Status pages of a host that has a manifest, two servers and the records of two hosts.
class StatusPagesFixture {
public:
    StatusPagesFixture()
    {
        Manifest manifest;
        manifest.version = 7;
        routes.adopt(manifest);
        BackendRecord record;
        record.id = BackendId("engine-1");
        record.service = ServiceName("llm");
        record.address = { "10.0.0.9", 8080 };
        record.dataCentre = DataCentre("a");
        record.role = EngineRole::Prefill;
        backends.put(record);
        record.id = BackendId("desk-1");
        record.service = ServiceName("desk");
        record.address.port = 8081;
        record.role.reset();
        record.draining = true;
        backends.put(record);
        BackendLoad load;
        load.requests = 3;
        backends.open(BackendId("engine-1"), load);
        StoredRows rows;
        rows.whole = true;
        rows.newest = { StoreEra(1), RowVersion(12) };
        rows.rows = { { "n1", encodeHostRecord(self), RowVersion(11), false },
            { "n2", encodeHostRecord(other), RowVersion(12), false } };
        mirror.apply(SharedTable::Hosts, rows, now - 250ms, now);
    }

    JsonDocument page(const std::string& path) const
    {
        const auto text = pages.page(path, { true, true, 5 }, now);
        REQUIRE(text);
        auto json = parseJson(*text);
        REQUIRE(json);
        return std::move(*json);
    }

    MonotonicTime now { 100s };
    HostRecord self { HostId("n1"), DataCentre("a"), { "10.0.0.1", 7380 }, 1 };
    HostRecord other { HostId("n2"), DataCentre("b"), { "10.0.0.2", 7380 }, 1 };
    RouteTable routes;
    BackendTable backends;
    RowMirror mirror;
    Lease lease { roleLeaseKey, HostId("n1"), Incarnation(1), LeaseSettings() };
    CrashRecords crashes;
    StatusPages pages { self, routes, backends, mirror, lease, crashes };
};

} // namespace

TEST_CASE_METHOD(
    StatusPagesFixture, "Status page shows the manifest version and the age of each table's copy")
{
    const auto json = page("/status");
    CHECK(jsonString(json, "host") == "n1");
    CHECK(jsonFlag(json, "ready"));
    CHECK(jsonFlag(json, "reader"));
    CHECK(jsonInteger(json, "open_requests") == 5);
    CHECK(jsonInteger(json, "manifest_version") == 7);
    CHECK(jsonInteger(json, "hosts") == 2);
    CHECK(jsonInteger(json, "servers") == 2);
    CHECK(jsonInteger(json, "hosts_age_ms") == 250);
    CHECK(jsonInteger(json, "hosts_store_version") == 12);
    // This table has not been read yet.
    CHECK(jsonMember(json, "manifest_age_ms") == nullptr);
}

TEST_CASE_METHOD(StatusPagesFixture, "Hosts page lists the enrolled hosts and marks this one")
{
    const auto json = page("/hosts");
    const auto& hosts = *jsonMember(json, "hosts");
    REQUIRE(hosts.Size() == 2);
    CHECK(jsonString(hosts[0], "state") == "this host");
    CHECK(jsonString(hosts[1], "id") == "n2");
    CHECK(jsonString(hosts[1], "address") == "10.0.0.2:7380");
}

TEST_CASE_METHOD(StatusPagesFixture, "Servers page shows role, state and open requests of each server")
{
    const auto json = page("/servers");
    const auto& servers = *jsonMember(json, "servers");
    REQUIRE(servers.Size() == 2);
    CHECK(jsonString(servers[0], "id") == "desk-1");
    CHECK(jsonString(servers[0], "state") == "draining");
    CHECK(jsonString(servers[0], "role").empty());
    CHECK(jsonString(servers[1], "role") == "prefill");
    CHECK(jsonString(servers[1], "state") == "ready");
    CHECK(jsonInteger(servers[1], "open_here") == 3);
}

TEST_CASE_METHOD(StatusPagesFixture, "Servers page shows a server without a connection as unreachable")
{
    backends.noteOutcome(BackendId("engine-1"), BackendOutcome::Unreachable, now);
    const auto json = page("/servers");
    CHECK(jsonString((*jsonMember(json, "servers"))[1], "state") == "unreachable");
}

TEST_CASE_METHOD(StatusPagesFixture, "Leases page shows the holder that was last read from the store")
{
    CHECK(jsonMember(page("/leases"), "leases")->Empty());
    REQUIRE(lease.nextCall(now));
    TableAnswer answer;
    LeaseRow row;
    row.holder = HostId("n2");
    row.fencing = FencingToken(4);
    row.duration = 3s;
    answer.row = TableRow { roleLeaseKey, encodeLeaseRow(row), RowVersion(3), {} };
    lease.onAnswer(now, answer);
    const auto json = page("/leases");
    const auto& leases = *jsonMember(json, "leases");
    REQUIRE(leases.Size() == 1);
    CHECK(jsonString(leases[0], "holder") == "n2");
    CHECK(jsonInteger(leases[0], "fencing") == 4);
    CHECK_FALSE(jsonFlag(leases[0], "held_here"));
}

TEST_CASE_METHOD(
    StatusPagesFixture, "Servers page shows the limit of a server, this host's share and what was sent")
{
    const auto engine = lifetimeOf(backends.find(BackendId("engine-1"))->record);
    backends.limits().noteResponse(engine, RequestRate(8), now, now);
    backends.limits().setHostCount(2);
    backends.limits().count(engine, ServiceName("llm"), now);
    FleetTraffic others;
    others.limitedSends[backendHash(engine.backend)] = 5;
    backends.limits().setRemoteTraffic(others);
    const auto json = page("/servers");
    const auto& server = (*jsonMember(json, "servers"))[1];
    CHECK(jsonNumber(server, "limit_per_s") == Approx(8));
    // The other host, which is not heard, keeps its half.
    CHECK(jsonNumber(server, "share_per_s") == Approx(4));
    CHECK(jsonInteger(server, "sent_here") == 1);
    CHECK(jsonInteger(server, "sent") == 6);
}

TEST_CASE_METHOD(StatusPagesFixture, "Unknown path has no page")
{
    CHECK_FALSE(pages.page("/almondscale/ready", {}, now));
}

TEST_CASE_METHOD(StatusPagesFixture,
    "Servers page shows the source of the notice that keeps new work from a server, and its time left")
{
    const auto noticeOf = [&](const char* id) {
        const auto json = page("/servers");
        for (const auto& server : jsonMember(json, "servers")->GetArray()) {
            if (jsonString(server, "id") == id)
                return jsonString(server, "state") + ", " + jsonString(server, "word") + ", "
                    + std::to_string(jsonInteger(server, "barred_ms"));
        }
        return std::string();
    };
    CHECK(noticeOf("desk-1") == "draining, registration, 0");
    CHECK(noticeOf("engine-1") == "ready, , 0");
    const auto engine = lifetimeOf(backends.find(BackendId("engine-1"))->record);
    backends.noteBackoff(engine, Deadline::after(now, 700ms), now);
    CHECK(noticeOf("engine-1") == "barred, own answer, 700");
    backends.noteLeaving(engine, { now, false });
    CHECK(noticeOf("engine-1") == "leaving, other host, 700");
}

TEST_CASE_METHOD(
    StatusPagesFixture, "Suspects page, with a bad part, names it, the servers it crashed and its age")
{
    for (int i = 0; i < 3; ++i) {
        ServerEnd end;
        end.server = { BackendId("engine-" + std::to_string(i)), 1 };
        end.endedAt = now - 10s + std::chrono::seconds(i);
        const RequestSubjects request { Fingerprint(i), { PromptPartId(0xbad) }, std::nullopt };
        crashes.noteEnd(request, end, crashes.nextSteps(request));
    }
    const auto json = page("/suspects");
    const JsonValue* found = nullptr;
    for (const auto& entry : jsonMember(json, "suspects")->GetArray()) {
        if (jsonString(entry, "kind") == "part")
            found = &entry;
    }
    REQUIRE(found);
    CHECK(jsonString(*found, "id") == "bad");
    CHECK(jsonString(*found, "state") == "refused");
    CHECK(jsonString(*found, "servers") == "engine-0,engine-1,engine-2");
    CHECK(jsonInteger(*found, "age_ms") == 8000);
    CHECK(jsonInteger(*found, "refused_ms") > 0);
}

TEST_CASE_METHOD(
    StatusPagesFixture, "Status page shows the age of the manifest's proof only where it matters")
{
    CHECK_FALSE(jsonMember(page("/status"), "manifest_proof_age_ms"));
    const auto text = pages.page("/status", { true, true, 5, 1200ms }, now);
    CHECK(jsonInteger(*parseJson(*text), "manifest_proof_age_ms") == 1200);
}

// A deployment without keys exports what it did before.
TEST_CASE("Metrics of keys appear with their first value")
{
    HostMetrics metrics;
    CHECK(metrics.text().find("key_refusals") == std::string::npos);
    CHECK(metrics.text().find("proof_age") == std::string::npos);
    metrics.onKeyRefusal("unauthorised");
    metrics.onKeyRefusal("manifest_too_old");
    metrics.setProofAge(1500ms);
    CHECK(metrics.text().find(R"(almondscale_key_refusals_total{reason="manifest_too_old"} 1)")
        != std::string::npos);
    CHECK(metrics.text().find("almondscale_manifest_proof_age_seconds 1.5") != std::string::npos);
}

TEST_CASE("Metrics of a manifest distinguish how requests were decided by an outdated one")
{
    HostMetrics metrics;
    metrics.setManifest({ 7, 1500ms, CopyOrigin::Reader, 3s });
    metrics.onOutdatedDecision("routed");
    metrics.onOutdatedDecision("no_route");
    metrics.onManifestInForce(700ms);
    for (const auto* line : { "almondscale_manifest_version 7", "almondscale_manifest_age_seconds 1.5",
             "almondscale_manifest_bound_seconds 3",
             R"(almondscale_outdated_decisions_total{decision="routed"} 1)",
             R"(almondscale_outdated_decisions_total{decision="no_route"} 1)",
             R"(almondscale_manifest_delay_seconds_bucket{le="1"} 1)" })
        CHECK(metrics.text().find(line) != std::string::npos);
}
