#include "Peers/PeerNetwork.h"

#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"
#include "Serving/UsageCollector.h"
#include "Serving/UsageMeter.h"
#include "Support/LoopbackServer.h"
#include "Support/NarrowLink.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t engine = 42;

// A host with an event loop of its own, so that a test can stop it alone.
class TestHost {
public:
    TestHost(const std::string& id, const std::string& dataCentre, double strength,
        std::vector<Address> seeds = {})
        : record { HostId(id), DataCentre(dataCentre), freeLoopbackAddress(), strength }
        , network(loop.get_executor(), record, std::move(seeds), mirror, crashes, hooks())
    {
        work.loads[engine] = BackendLoad { 0, 1, 0 };
        mirror.onUpdate = [this](SharedTable table, const StoredRows& rows, MonotonicTime) {
            if (table == SharedTable::Hosts)
                network.setHosts(decodeHosts(rows));
        };
        network.start();
        spawn(loop.get_executor(), network.run());
    }

    PeerNetwork::Hooks hooks()
    {
        PeerNetwork::Hooks hooks;
        hooks.localWork = [this] { return work; };
        hooks.onRemoteWork = [this](const PeerWork& reported) { remoteWork = reported; };
        hooks.usageSince = [this](std::uint64_t& version) { return meter.changesSince(version); };
        hooks.onUsage = [this](const UsageRecord& record) {
            ++usageRecords;
            collector.add(record);
        };
        hooks.storedUsageSince = [this](const std::set<HostId>& of, std::uint64_t& position) {
            return collector.storedSince(of, position);
        };
        hooks.onStoredUsage = [this](const UsageRecordId& id) { confirmed.push_back(id); };
        hooks.usageSent = [this] { return usageSent; };
        hooks.onUsageSent = [this](const SentReport& report) {
            const bool isNew = !usageSent || usageSent->window < report.window;
            if (isNew)
                usageSent = report;
            return isNew;
        };
        hooks.manifest = [this] { return inForce; };
        hooks.onManifest = [this](const std::string& text) {
            if (inForce)
                return false;
            inForce = std::make_shared<const std::string>(text);
            return true;
        };
        hooks.exchangesProofs = [this] { return exchangesProofs; };
        hooks.manifestProof = [this] { return proof; };
        hooks.onManifestProof = [this](const ManifestProof& given) {
            ++proofsGiven;
            if (!proof || proof->provenAt < given.provenAt)
                proof = given;
        };
        return hooks;
    }

    // Writes all records to a store that takes every write.
    std::vector<UsageRow> store(WallTime time)
    {
        auto rows = collector.nextWrite(bootTime(), time, true);
        collector.onWritten(bootTime(), { WriteOutcome::Applied, RowVersion(1), {} });
        return rows;
    }

    int remoteRequests() const
    {
        const auto found = remoteWork.loads.find(engine);
        return found == remoteWork.loads.end() ? 0 : found->second.requests;
    }

    boost::asio::io_context loop;
    HostRecord record;
    RowMirror mirror;
    CrashRecords crashes;
    PeerWork work;
    PeerWork remoteWork;
    UsageMeter meter { record.id, Incarnation(1), UsageBounds() };
    UsageCollector collector { UsageBounds() };
    int usageRecords = 0;
    std::vector<UsageRecordId> confirmed;
    std::optional<SentReport> usageSent;
    std::shared_ptr<const std::string> inForce;
    bool exchangesProofs = false;
    std::optional<ManifestProof> proof;
    int proofsGiven = 0;
    PeerNetwork network;
};

class PeerNetworkFixture {
public:
    PeerNetworkFixture()
    {
        add("a1", "a", 3);
        add("a2", "a", 2);
        add("a3", "a", 1);
        add("b1", "b", 2);
        add("b2", "b", 1);
        StoredRows rows;
        rows.whole = true;
        rows.newest = { StoreEra(1), RowVersion(1) };
        for (const auto& host : hosts)
            rows.rows.push_back(
                { host->record.id.text(), encodeHostRecord(host->record), RowVersion(1), false });
        for (const auto& host : hosts)
            host->mirror.apply(SharedTable::Hosts, rows, bootTime(), bootTime());
    }

    void add(const std::string& id, const std::string& dataCentre, double strength,
        std::vector<Address> seeds = {})
    {
        hosts.push_back(std::make_unique<TestHost>(id, dataCentre, strength, std::move(seeds)));
    }

    void runFor(Nanoseconds time)
    {
        const auto until = Deadline::after(bootTime(), time);
        while (!until.passed(bootTime())) {
            for (const auto& host : hosts) {
                if (host)
                    host->loop.poll();
            }
            std::this_thread::sleep_for(1ms);
        }
    }

    static StoredRows manifest(std::uint64_t version, std::uint64_t era = 1)
    {
        StoredRows rows;
        rows.whole = true;
        rows.newest = { StoreEra(era), RowVersion(version) };
        rows.rows = { { "config", "v" + std::to_string(version), RowVersion(version), false } };
        return rows;
    }

    // Sends one frame to the first host over a connection of its own, which stays open with the socket.
    tcp::socket connectAndSend(const PeerFrame& frame)
    {
        const auto bytes = encodePeerFrame(frame, bootTime());
        const std::string length { 0, 0, static_cast<char>(bytes.size() >> 8),
            static_cast<char>(bytes.size()) };
        tcp::socket socket(hosts[0]->loop);
        const auto& peers = hosts[0]->record.peerAddress;
        socket.connect({ boost::asio::ip::make_address_v4(peers.ip), peers.port });
        boost::asio::write(socket, boost::asio::buffer(length + bytes));
        return socket;
    }

    std::vector<std::unique_ptr<TestHost>> hosts;
};

// A reader with a large manifest, and a host that reaches it over a narrow link.
class NarrowPeerFixture {
public:
    static constexpr std::size_t manifestBytes = 600000;

    NarrowPeerFixture()
        : reader("a1", "a", 2)
        , follower("a2", "a", 1)
        , link(loop.get_executor(), linkAddress, reader.record.peerAddress, 400000)
    {
        StoredRows hosts;
        hosts.whole = true;
        hosts.newest = { StoreEra(1), RowVersion(1) };
        auto seen = reader.record;
        seen.peerAddress = linkAddress;
        hosts.rows = { { "a1", encodeHostRecord(seen), RowVersion(1), false },
            { "a2", encodeHostRecord(follower.record), RowVersion(1), false } };
        for (auto* host : { &reader, &follower })
            host->mirror.apply(SharedTable::Hosts, hosts, bootTime(), bootTime());
    }

    static StoredRows manifest(std::uint64_t version)
    {
        StoredRows rows;
        rows.whole = true;
        rows.newest = { StoreEra(1), RowVersion(version) };
        rows.rows = { { "config", std::string(manifestBytes, 'x'), RowVersion(version), false } };
        return rows;
    }

    void put(TestHost& host, std::uint64_t version)
    {
        host.mirror.apply(SharedTable::Manifest, manifest(version), bootTime(), bootTime());
        host.network.publish();
    }

    bool runUntil(const std::function<bool()>& isReached, Nanoseconds limit)
    {
        const auto until = Deadline::after(bootTime(), limit);
        while (!isReached() && !until.passed(bootTime())) {
            loop.poll();
            reader.loop.poll();
            follower.loop.poll();
            std::this_thread::sleep_for(200us);
        }
        return isReached();
    }

    bool followerHas(std::uint64_t version) const
    {
        return follower.mirror.version(SharedTable::Manifest).version == RowVersion(version);
    }

    boost::asio::io_context loop;
    Address linkAddress = freeLoopbackAddress();
    TestHost reader;
    TestHost follower;
    NarrowLink link;
};

} // namespace

TEST_CASE_METHOD(
    NarrowPeerFixture, "Manifest that needs 1.5 s on a narrow link, when the link is made, reaches the host")
{
    put(reader, 9);
    CHECK(runUntil([this] { return followerHas(9); }, 4s));
}

TEST_CASE_METHOD(NarrowPeerFixture,
    "Manifest that needs 1.5 s on a narrow link, sent over an open link, does not end the link")
{
    REQUIRE(runUntil([this] { return !follower.network.isReader() && follower.remoteRequests() == 1; }, 2s));
    put(reader, 9);
    CHECK(runUntil([this] { return followerHas(9); }, 4s));
    CHECK_FALSE(follower.network.isReader());
}

TEST_CASE_METHOD(
    NarrowPeerFixture, "Manifest that a host has, when its link is made again, is not sent to it")
{
    put(reader, 9);
    put(follower, 9);
    REQUIRE(runUntil([this] { return follower.remoteRequests() == 1; }, 2s));
    runUntil([] { return false; }, 500ms);
    CHECK(link.passedBack < manifestBytes / 10);
    put(reader, 10);
    CHECK(runUntil([this] { return followerHas(10); }, 4s));
}

TEST_CASE_METHOD(NarrowPeerFixture, "Older manifest is not sent to a host with a newer one")
{
    put(reader, 9);
    put(follower, 10);
    const auto readerHas = [this] { return reader.mirror.version(SharedTable::Manifest).version; };
    CHECK(runUntil([&] { return readerHas() == RowVersion(10); }, 4s));
    CHECK(link.passedBack < manifestBytes / 10);
}

TEST_CASE_METHOD(
    NarrowPeerFixture, "Manifest of the same version as another host's, but of another text, is sent")
{
    put(reader, 9);
    auto other = manifest(9);
    other.rows.front().value = "late";
    follower.mirror.apply(SharedTable::Manifest, other, bootTime(), bootTime());
    const auto textOf = [](const TestHost& host) {
        return host.mirror.changesSince(SharedTable::Manifest, {})->rows.front().value;
    };
    const auto before = textOf(reader);
    CHECK(runUntil([&] { return textOf(follower) == before || textOf(reader) == "late"; }, 4s));
}

// Hosts of an older program send no greeting, and expect rows in an early frame.
TEST_CASE_METHOD(PeerNetworkFixture, "Host that does not greet gets all tables")
{
    hosts.clear();
    add("a1", "a", 3);
    hosts[0]->mirror.apply(SharedTable::Manifest, manifest(9), bootTime(), bootTime());
    PeerFrame frame;
    frame.whole = true;
    frame.host = HostId("a2");
    frame.dataCentre = DataCentre("a");
    auto socket = connectAndSend(frame);
    runFor(100ms);
    std::string bytes(socket.available(), '\0');
    boost::asio::read(socket, boost::asio::buffer(bytes));
    std::size_t rows = 0;
    while (bytes.size() > 4) {
        const auto size = static_cast<unsigned char>(bytes[2]) * 256U + static_cast<unsigned char>(bytes[3]);
        const auto received = decodePeerFrame(bytes.substr(4, size), bootTime());
        REQUIRE(received);
        for (const auto& update : received->tableUpdates)
            rows += update.table == SharedTable::Manifest ? update.rows.rows.size() : 0;
        bytes.erase(0, size + 4);
    }
    CHECK(rows == 1);
}

TEST_CASE_METHOD(PeerNetworkFixture, "Host that sends a byte of its first frame now and then, is given up")
{
    hosts.clear();
    add("a1", "a", 3);
    tcp::socket socket(hosts[0]->loop);
    const auto& peers = hosts[0]->record.peerAddress;
    socket.connect({ boost::asio::ip::make_address_v4(peers.ip), peers.port });
    boost::asio::write(socket, boost::asio::buffer(std::string { 0, 0, 1, 0 }));
    bool open = true;
    const auto beganAt = bootTime();
    while (open && bootTime() - beganAt < 4s) {
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer("x", 1), error);
        runFor(150ms);
        open = !error;
    }
    CHECK_FALSE(open);
    CHECK(bootTime() - beganAt < 2s);
}

TEST_CASE_METHOD(
    PeerNetworkFixture, "Linked hosts have one reader per data centre and know the loads of all others")
{
    runFor(1500ms);
    CHECK(hosts[0]->network.isReader());
    CHECK_FALSE(hosts[1]->network.isReader());
    CHECK_FALSE(hosts[2]->network.isReader());
    CHECK(hosts[3]->network.isReader());
    CHECK_FALSE(hosts[4]->network.isReader());
    for (const auto& host : hosts)
        CHECK(host->remoteRequests() == 4);
}

TEST_CASE_METHOD(PeerNetworkFixture, "Table update known to one host reaches all others")
{
    runFor(1500ms);
    hosts[4]->mirror.apply(SharedTable::Manifest, manifest(9), bootTime(), bootTime());
    hosts[4]->network.publish();
    runFor(300ms);
    for (const auto& host : hosts)
        CHECK(host->mirror.version(SharedTable::Manifest).version == RowVersion(9));
}

TEST_CASE_METHOD(PeerNetworkFixture, "Reader that stops responding is replaced, and its load is dropped")
{
    runFor(1500ms);
    // Its event loop no longer runs, as on a frozen machine.
    const auto frozen = std::move(hosts[0]);
    runFor(2500ms);
    CHECK(hosts[1]->network.isReader());
    CHECK_FALSE(hosts[2]->network.isReader());
    CHECK(hosts[2]->remoteRequests() == 3);
    hosts[3]->mirror.apply(SharedTable::Manifest, manifest(9), bootTime(), bootTime());
    hosts[3]->network.publish();
    runFor(500ms);
    CHECK(hosts[2]->mirror.version(SharedTable::Manifest).version == RowVersion(9));
}

TEST_CASE_METHOD(
    PeerNetworkFixture, "Host started while the store is unavailable learns the tables from a seed")
{
    runFor(1500ms);
    hosts[3]->mirror.apply(SharedTable::Manifest, manifest(9), bootTime(), bootTime());
    add("a4", "a", 0.5, { hosts[4]->record.peerAddress });
    runFor(1500ms);
    CHECK(hosts[5]->mirror.version(SharedTable::Manifest).version == RowVersion(9));
    CHECK(hosts[5]->network.hostCount() == 6);
}

TEST_CASE_METHOD(
    PeerNetworkFixture, "Load reported over the only link is dropped when the link closes at once")
{
    // With no other link, no further frame makes the host sum up the loads again.
    hosts.clear();
    add("a1", "a", 3);
    PeerFrame frame;
    frame.whole = true;
    frame.host = HostId("a2");
    frame.dataCentre = DataCentre("a");
    frame.work.emplace();
    for (int requests = 1; requests <= 2; ++requests) {
        frame.work->loads[engine] = BackendLoad { 0, requests, 0 };
        const auto socket = connectAndSend(frame);
        if (requests == 1)
            runFor(5ms);
    }
    runFor(100ms);
    CHECK(hosts[0]->remoteRequests() == 0);
}

TEST_CASE_METHOD(PeerNetworkFixture, "Reader whose links to another data centre are lost, lacks it")
{
    runFor(1500ms);
    CHECK_FALSE(hosts[0]->network.lacksDataCentre());
    CHECK_FALSE(hosts[3]->network.lacksDataCentre());
    hosts.resize(3);
    runFor(1500ms);
    CHECK(hosts[0]->network.lacksDataCentre());
}

// Guards against hosts that keep the rows of an earlier era because their versions are higher.
TEST_CASE_METHOD(PeerNetworkFixture, "Table update of a later era with a lower version reaches all hosts")
{
    runFor(1500ms);
    hosts[4]->mirror.apply(SharedTable::Manifest, manifest(9), bootTime(), bootTime());
    hosts[4]->network.publish();
    runFor(300ms);
    hosts[2]->mirror.apply(SharedTable::Manifest, manifest(4, 2), bootTime(), bootTime());
    hosts[2]->network.publish();
    runFor(300ms);
    for (const auto& host : hosts)
        CHECK(host->mirror.version(SharedTable::Manifest) == StoreVersion { StoreEra(2), RowVersion(4) });
}

TEST_CASE_METHOD(
    PeerNetworkFixture, "Table update without an era is taken for the current one until the era has changed")
{
    hosts.clear();
    add("a1", "a", 3);
    auto& mirror = hosts[0]->mirror;
    mirror.apply(SharedTable::Manifest, manifest(4, 1), bootTime(), bootTime());
    // As sent by a program that knows of no eras.
    const auto sendBareVersion = [&](std::uint64_t version) {
        PeerFrame frame;
        frame.whole = true;
        frame.host = HostId("a2");
        frame.dataCentre = DataCentre("a");
        TableUpdate update;
        update.rows = manifest(version, 0);
        frame.tableUpdates = { update };
        const auto socket = connectAndSend(frame);
        runFor(50ms);
    };
    sendBareVersion(9);
    CHECK(mirror.version(SharedTable::Manifest) == StoreVersion { StoreEra(1), RowVersion(9) });
    mirror.apply(SharedTable::Manifest, manifest(6, 2), bootTime(), bootTime());
    sendBareVersion(12);
    CHECK(mirror.version(SharedTable::Manifest) == StoreVersion { StoreEra(2), RowVersion(6) });
}

// Guards against counts that are lost with a reader, sent again and again, or sent to hosts that don't write
// them.
TEST_CASE_METHOD(
    PeerNetworkFixture, "Usage reaches the reader once, and the next one if the first has not stored it")
{
    const Organisation organisation("o");
    const WallTime began(100s);
    const auto count = [&](std::size_t host) { hosts[host]->meter.onRunBegan(organisation, began, began); };
    runFor(1500ms);
    count(0);
    count(1);
    count(2);
    runFor(500ms);
    count(2);
    runFor(700ms);
    CHECK(hosts[0]->usageRecords == 3);
    hosts[2]->meter.advance(began + 7s);
    runFor(500ms);
    const auto rows = hosts[0]->store(began + 7s);
    REQUIRE(rows.size() == 2);
    CHECK(rows[1].counts.at(organisation) == 2);
    runFor(500ms);
    // The second host has not closed its window.
    CHECK(hosts[1]->confirmed.empty());
    REQUIRE(hosts[2]->confirmed.size() == 1);
    hosts[2]->meter.noteStored(hosts[2]->confirmed.front());
    hosts[2]->meter.onRunBegan(organisation, began + 5s, began + 5s);
    runFor(300ms);
    CHECK(hosts[2]->usageRecords == 0);
    hosts[0].reset();
    runFor(3000ms);
    // The record of the first reader, and that of the third host.
    CHECK(hosts[1]->usageRecords == 2);
    CHECK(hosts[1]->store(began + 12s).size() == 2);
    CHECK(hosts[3]->usageRecords + hosts[4]->usageRecords == 0);
}

// A follower never asks the store, so that its keys depend on what the reader proves.
TEST_CASE_METHOD(
    PeerNetworkFixture, "Proof of a reader reaches its followers, and never appears younger than it is")
{
    for (const auto& host : hosts)
        host->exchangesProofs = true;
    const auto provenAt = bootTime();
    hosts[0]->proof = ManifestProof { provenAt, { StoreEra(1), RowVersion(3) }, { 7, 77 } };
    runFor(1500ms);
    for (const auto& host : hosts) {
        REQUIRE(host->proof);
        CHECK(host->proof->version == StoreVersion { StoreEra(1), RowVersion(3) });
        CHECK(host->proof->manifest == ManifestIdentity { 7, 77 });
        CHECK(host->proof->provenAt <= provenAt);
    }
    CHECK(hosts[1]->proof->provenAt > provenAt - 600ms);
}

// Guards against hosts that never get a change because they already have its version.
TEST_CASE_METHOD(PeerNetworkFixture, "Table update at a version that all have, reaches all")
{
    runFor(1500ms);
    hosts[0]->mirror.apply(SharedTable::Manifest, manifest(9), bootTime(), bootTime());
    hosts[0]->network.publish();
    runFor(300ms);
    auto late = manifest(9);
    late.rows.front().value = "late";
    hosts[0]->mirror.apply(SharedTable::Manifest, late, bootTime(), bootTime());
    hosts[0]->network.publish();
    runFor(300ms);
    for (const auto& host : hosts)
        CHECK(host->mirror.changesSince(SharedTable::Manifest, {})->rows.front().value == "late");
}

// Guards against a host that does not read the store because an old copy appears to be current.
TEST_CASE_METHOD(
    PeerNetworkFixture, "Table update that waited on its way, once received, is as old as when it was made")
{
    runFor(1500ms);
    const auto confirmedAt = bootTime();
    hosts[0]->mirror.apply(SharedTable::Manifest, manifest(9), confirmedAt, confirmedAt);
    hosts[0]->network.publish();
    runFor(300ms);
    CHECK(hosts[1]->mirror.currentAt(SharedTable::Manifest) > confirmedAt - 200ms);
    const auto until = Deadline::after(bootTime(), 700ms);
    while (!until.passed(bootTime()))
        hosts[0]->loop.poll();
    hosts[1]->loop.poll();
    CHECK(hosts[1]->mirror.currentAt(SharedTable::Manifest) <= confirmedAt);
}

TEST_CASE_METHOD(PeerNetworkFixture, "Hosts without strict revocation send and take no proofs")
{
    hosts[0]->proof = ManifestProof { bootTime(), {}, {} };
    hosts[1]->exchangesProofs = true;
    runFor(1000ms);
    CHECK_FALSE(hosts[1]->proof);
    CHECK_FALSE(hosts[2]->proof);
}

TEST_CASE_METHOD(PeerNetworkFixture, "Proof in a frame that echoes no stamp of the receiver does not count")
{
    hosts.clear();
    add("a1", "a", 3);
    hosts[0]->exchangesProofs = true;
    PeerFrame frame;
    frame.whole = true;
    frame.host = HostId("a2");
    frame.dataCentre = DataCentre("a");
    frame.manifestProvenAge = 1ms;
    frame.echoedProbe = GENERATE(0, 1000);
    const auto socket = connectAndSend(frame);
    runFor(50ms);
    CHECK(hosts[0]->proofsGiven == 0);
}

// Guards against a second report of a window by a successor that did not learn of the first one.
TEST_CASE_METHOD(
    PeerNetworkFixture, "Report of usage about to be sent is known and confirmed by all linked hosts")
{
    for (const auto& host : hosts)
        CHECK_FALSE(host->network.hearsHosts());
    runFor(1500ms);
    for (const auto& host : hosts)
        CHECK(host->network.hearsHosts());
    const SentReport report { UsageWindow(7), 99 };
    hosts[0]->usageSent = report;
    CHECK_FALSE(hosts[0]->network.othersKnowUsageSent(report.window));
    hosts[0]->network.publish();
    runFor(100ms);
    CHECK(hosts[0]->network.othersKnowUsageSent(report.window));
    CHECK_FALSE(hosts[0]->network.othersKnowUsageSent(UsageWindow(8)));
    for (const auto& host : hosts)
        CHECK(host->usageSent == report);
    // A host that starts later hears of it with its first link.
    add("a4", "a", 0.5, { hosts[4]->record.peerAddress });
    runFor(500ms);
    CHECK(hosts.back()->usageSent == report);
}

// Guards against a host that starts by the older manifest of a restored store beside hosts that know a newer
// one.
TEST_CASE_METHOD(PeerNetworkFixture, "Manifest in force that the store has lost reaches a host that starts")
{
    hosts[3]->inForce = std::make_shared<const std::string>("newer");
    CHECK_FALSE(hosts[3]->network.hasHeardHost());
    runFor(1500ms);
    for (const auto& host : hosts) {
        REQUIRE(host->inForce);
        CHECK(*host->inForce == "newer");
    }
    add("a4", "a", 0.5, { hosts[4]->record.peerAddress });
    auto& started = *hosts.back();
    for (int i = 0; i < 100 && !started.network.hasHeardHost(); ++i)
        runFor(5ms);
    // Its first frame has it, so that nothing older comes into force.
    REQUIRE(started.inForce);
    CHECK(*started.inForce == "newer");
}
