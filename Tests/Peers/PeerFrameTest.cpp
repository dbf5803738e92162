#include "Peers/PeerFrame.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

const MonotonicTime now { 1h };

} // namespace

TEST_CASE("Decoded frame equals the encoded one")
{
    PeerFrame frame;
    frame.whole = true;
    frame.host = HostId("n1");
    frame.dataCentre = DataCentre("a");
    frame.work.emplace();
    frame.work->loads[42] = BackendLoad { 120.5, 3, 51000, 80.5 };
    frame.work->demand[ServiceName("llm")] = EngineDemand { 2400, 41, 355000, 900, { 7, { 1, 2, 3, 4 } } };
    frame.work->sentPrefixes = { { 42, 7 }, { 43, 8 } };
    TableUpdate update;
    update.table = SharedTable::Backends;
    update.age = 250ms;
    update.rows.newest = { StoreEra(3), RowVersion(17) };
    update.rows.whole = true;
    update.rows.rows = { { "i-1", "{}", RowVersion(16), false }, { "i-2", "", RowVersion(17), true } };
    frame.tableUpdates.push_back(update);
    ServerEnd end;
    end.server = { BackendId("s-1"), 1234 };
    end.sentAt = now - 3s;
    end.endedAt = now - 2s;
    end.evidence = EndEvidence::Gone;
    end.step = 2;
    end.apart = true;
    frame.crashes = { { Fingerprint(77), { end }, std::nullopt } };
    end.contents = { Fingerprint(78), Fingerprint(79) };
    frame.crashes.push_back({ PromptPartId(80), { end }, now - 7s });
    frame.leaving = { end.server };
    frame.roleTransitions = { { end.server, EngineRole::Decode, Deadline::after(now, 4s) },
        { end.server, EngineRole::Prefill, Deadline(now) } };

    frame.work->traffic = { 3, { { ServiceName("desk"), 12.5 } }, { { 42, 9 } } };
    frame.limits = { { end.server, RequestRate(4.7), now - 1s }, { end.server, std::nullopt, now - 2s } };

    frame.greeting = true;
    frame.held = { { SharedTable::Backends, { StoreEra(3), RowVersion(17) }, 99 } };

    const auto decoded = decodePeerFrame(encodePeerFrame(frame, now), now);
    REQUIRE(decoded);
    CHECK(decoded->greeting);
    REQUIRE(decoded->held.size() == 1);
    CHECK(decoded->held[0].table == SharedTable::Backends);
    CHECK(decoded->held[0].newest == StoreVersion { StoreEra(3), RowVersion(17) });
    CHECK(decoded->held[0].digest == 99);
    CHECK(decoded->work->traffic.hosts == 3);
    CHECK(decoded->work->traffic.requestRates.at(ServiceName("desk")) == Approx(12.5));
    CHECK(decoded->work->traffic.limitedSends.at(42) == 9);
    REQUIRE(decoded->limits.size() == 2);
    CHECK(decoded->limits[0].server == end.server);
    CHECK(decoded->limits[0].rate == RequestRate(4.7));
    CHECK(decoded->limits[0].statedAt == now - 1s);
    CHECK_FALSE(decoded->limits[1].rate);
    CHECK(decoded->host == frame.host);
    CHECK(decoded->work->loads.at(42).requests == 3);
    CHECK(decoded->work->loads.at(42).prefillMs == Approx(120.5));
    CHECK(decoded->work->loads.at(42).deferredMs == Approx(80.5));
    CHECK(decoded->work->demand.at(ServiceName("llm")).requests == Approx(41));
    CHECK(decoded->work->demand.at(ServiceName("llm")).decodeMs == Approx(900));
    CHECK(decoded->work->demand.at(ServiceName("llm")).speed.weight == Approx(7));
    CHECK(decoded->work->demand.at(ServiceName("llm")).speed.sums[3] == Approx(4));
    REQUIRE(decoded->work->sentPrefixes.size() == 2);
    CHECK(decoded->work->sentPrefixes.begin()->prefix == 7);
    REQUIRE(decoded->tableUpdates.size() == 1);
    CHECK(decoded->tableUpdates[0].table == SharedTable::Backends);
    CHECK(decoded->tableUpdates[0].age == 250ms);
    CHECK(decoded->tableUpdates[0].rows.whole);
    REQUIRE(decoded->tableUpdates[0].rows.rows.size() == 2);
    CHECK(decoded->tableUpdates[0].rows.rows[1].removed);
    REQUIRE(decoded->leaving.size() == 1);
    CHECK(decoded->leaving[0] == end.server);
    REQUIRE(decoded->roleTransitions.size() == 2);
    CHECK(decoded->roleTransitions[0].engine == end.server);
    CHECK(decoded->roleTransitions[0].role == EngineRole::Decode);
    CHECK(decoded->roleTransitions[0].until.remaining(now) == 4s);
    CHECK(decoded->roleTransitions[1].until.passed(now));
    REQUIRE(decoded->crashes.size() == 2);
    CHECK(decoded->crashes[0].subject == Fingerprint(77));
    CHECK_FALSE(decoded->crashes[0].answeredAt);
    CHECK(decoded->crashes[1].subject == PromptPartId(80));
    CHECK(decoded->crashes[1].answeredAt == now - 7s);
    CHECK(decoded->crashes[1].ends[0].contents
        == std::vector<Fingerprint> { Fingerprint(78), Fingerprint(79) });
    REQUIRE(decoded->crashes[0].ends.size() == 1);
    const auto& decodedEnd = decoded->crashes[0].ends[0];
    CHECK(decodedEnd.server == end.server);
    CHECK(decodedEnd.sentAt == end.sentAt);
    CHECK(decodedEnd.endedAt == end.endedAt);
    CHECK(decodedEnd.evidence == EndEvidence::Gone);
    CHECK(decodedEnd.step == 2);
    CHECK(decodedEnd.apart);
    CHECK_FALSE(decodedEnd.prefill);
    CHECK_FALSE(decodedEnd.withdrawn);
}

TEST_CASE("Frame that is not whole has only the loads and the changed rows, and is short")
{
    PeerFrame frame;
    frame.host = HostId("frontend-kolkata-depot-1");
    frame.work.emplace();
    for (std::uint64_t engine = 0; engine < 12; ++engine)
        frame.work->loads[engine] = BackendLoad { 120.5, 3, 51000, 80.5 };
    frame.work->demand[ServiceName("llm")] = EngineDemand { 2400, 41, 355000, 900, { 7, { 1, 2, 3, 4 } } };
    frame.work->sentPrefixes = { { 42, 7 }, { 43, 8 } };
    // 24 bytes per engine and little overhead.
    CHECK(encodePeerFrame(frame, now).size() < 12 * 24 + 100);
    TableUpdate update;
    update.rows.newest = { StoreEra(3), RowVersion(17) };
    update.rows.rows = { { "i-1", "{}", RowVersion(17), false } };
    frame.tableUpdates.push_back(update);
    const auto decoded = decodePeerFrame(encodePeerFrame(frame, now), now);
    REQUIRE(decoded);
    CHECK_FALSE(decoded->whole);
    CHECK(decoded->host.empty());
    CHECK(decoded->work->loads.size() == 12);
    CHECK(decoded->work->demand.empty());
    CHECK(decoded->work->sentPrefixes.empty());
    REQUIRE(decoded->tableUpdates.size() == 1);
    CHECK(decoded->tableUpdates[0].rows.rows.size() == 1);
}

TEST_CASE("Frame of a large fleet is short and has the loads of the most loaded engines")
{
    PeerFrame frame;
    frame.work.emplace();
    for (std::uint64_t engine = 0; engine < 3000; ++engine)
        frame.work->loads[engine] = BackendLoad { static_cast<double>(engine), 1, 5000, 0 };
    const auto bytes = encodePeerFrame(frame, now);
    CHECK(bytes.size() < 64 * 24 + 100);
    const auto decoded = decodePeerFrame(bytes, now);
    REQUIRE(decoded);
    CHECK(decoded->work->loads.count(2999) == 1);
    CHECK(decoded->work->loads.count(2940) == 1);
    CHECK(decoded->work->loads.count(100) == 0);
}

TEST_CASE("Bytes that are no frame are not decoded")
{
    CHECK_FALSE(decodePeerFrame("", now));
    CHECK_FALSE(decodePeerFrame("no frame at all, but long enough to look like one", now));
    auto bytes = encodePeerFrame(PeerFrame(), now);
    bytes.resize(bytes.size() / 2);
    CHECK_FALSE(decodePeerFrame(bytes, now));
}

TEST_CASE("Stamps, usage and speeds of a frame survive encoding, and cost nothing if there are none")
{
    PeerFrame frame;
    const auto plain = encodePeerFrame(frame, now).size();
    frame.probe = 5;
    frame.echoedProbe = 4;
    frame.echoedProbeAge = 150ms;
    frame.manifestProvenAge = 1200us;
    frame.manifestProvenVersion = { StoreEra(2), RowVersion(8) };
    UsageRecord record { { HostId("n1"), Incarnation(9), UsageWindow(77) }, { { Organisation("o"), 3 } },
        true };
    frame.usage = { record };
    frame.storedUsage = { record.id };
    frame.serverSpeeds[42] = { 3, 2, 1.5, 1 };
    const auto bytes = encodePeerFrame(frame, now);
    CHECK(bytes.size() > plain);
    const auto decoded = decodePeerFrame(bytes, now);
    REQUIRE(decoded);
    CHECK(decoded->probe == 5);
    CHECK(decoded->echoedProbe == 4);
    CHECK(decoded->echoedProbeAge == 150ms);
    // An age is rounded up, since it proves how old something is at most.
    CHECK(decoded->manifestProvenAge == Nanoseconds(2ms));
    CHECK(decoded->manifestProvenVersion == frame.manifestProvenVersion);
    REQUIRE(decoded->usage.size() == 1);
    CHECK(decoded->usage[0].counts.at(Organisation("o")) == 3);
    CHECK(decoded->usage[0].closed);
    REQUIRE(decoded->storedUsage.size() == 1);
    CHECK(decoded->storedUsage[0].window == UsageWindow(77));
    CHECK(decoded->storedUsage[0].incarnation == Incarnation(9));
    CHECK(decoded->serverSpeeds.at(42).decodeSum == Approx(1.5));
    CHECK_FALSE(decodePeerFrame(encodePeerFrame(PeerFrame(), now), now)->manifestProvenAge);
}
