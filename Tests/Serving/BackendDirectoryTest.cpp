#include "Serving/BackendDirectory.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

StoreVersion at(std::uint64_t version, std::uint64_t era = 1)
{
    return { StoreEra(era), RowVersion(version) };
}

BackendChange present(const BackendRecord& record) { return { record.id, record }; }
BackendChange removed(const std::string& id) { return { BackendId(id), std::nullopt }; }

class BackendDirectoryFixture {
public:
    BackendDirectoryFixture()
        : directory(table)
    {
        directory.onSnapshot({ present(engineRecord("e1", EngineRole::Decode, "a", 1)),
                                 present(engineRecord("e2", EngineRole::Decode, "a", 2)) },
            at(5), testStart);
    }

    bool usable(const std::string& id) const { return table.find(BackendId(id)) != nullptr; }

    BackendTable table;
    BackendDirectory directory;
};

} // namespace

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, with a registration removed, drops the server at once")
{
    directory.onChanges({ removed("e1") }, at(6), testStart + 10s);
    CHECK_FALSE(usable("e1"));
    CHECK(usable("e2"));
}

TEST_CASE_METHOD(BackendDirectoryFixture,
    "Directory, with registrations missing after a store outage, keeps them for a grace period")
{
    directory.onReadFailed(testStart + 10s);
    directory.onSnapshot({ present(engineRecord("e2", EngineRole::Decode, "a", 2)) }, at(9), testStart + 11s);
    CHECK(usable("e1"));
    directory.sweep(testStart + 13s);
    CHECK(usable("e1"));
    SECTION("and drops those that do not reappear")
    {
        directory.sweep(testStart + 13400ms);
        CHECK_FALSE(usable("e1"));
    }
    SECTION("and keeps those that reappear")
    {
        directory.onChanges(
            { present(engineRecord("e1", EngineRole::Decode, "a", 1)) }, at(10), testStart + 12s);
        directory.sweep(testStart + 20s);
        CHECK(usable("e1"));
    }
}

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, with an address reassigned, drops its former server")
{
    std::vector<BackendId> dropped;
    directory.onRemoved = [&](const BackendRecord& record) { dropped.push_back(record.id); };
    directory.onChanges({ present(engineRecord("e3", EngineRole::Decode, "a", 1)) }, at(6), testStart + 1s);
    CHECK_FALSE(usable("e1"));
    CHECK(usable("e3"));
    CHECK(dropped == std::vector<BackendId> { BackendId("e1") });
}

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, given an older snapshot, ignores it")
{
    directory.onSnapshot({}, at(4), testStart + 1s);
    CHECK(usable("e1"));
}

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, with a server draining, gives it no new work")
{
    auto leaving = engineRecord("e1", EngineRole::Decode, "a", 1);
    leaving.draining = true;
    directory.onChanges({ present(leaving) }, at(6), testStart + 1s);
    const auto left = table.usable(model, testStart + 1s);
    REQUIRE(left.size() == 1);
    CHECK(left[0]->record.id == BackendId("e2"));
}

TEST_CASE_METHOD(BackendDirectoryFixture,
    "Directory, with a registration removed long after a store outage, drops the server at once")
{
    directory.onReadFailed(testStart + 10s);
    // The store is available again and nothing has changed.
    directory.onCurrent(testStart + 11s);
    directory.onChanges({ removed("e1") }, at(6), testStart + 15s);
    CHECK_FALSE(usable("e1"));
}

// Guards against requests to servers that had left before the store came back from an older copy.
TEST_CASE_METHOD(BackendDirectoryFixture,
    "Directory, given an older copy that lists a server which had left, sends it no request")
{
    directory.onChanges({ removed("e1") }, at(6), testStart + 1s);
    directory.onSnapshot({ present(engineRecord("e1", EngineRole::Decode, "a", 1)),
                             present(engineRecord("e2", EngineRole::Decode, "a", 2)) },
        at(3, 2), testStart + 5s);
    CHECK_FALSE(usable("e1"));
    CHECK(usable("e2"));
    SECTION("until the server writes again")
    {
        directory.onChanges(
            { present(engineRecord("e1", EngineRole::Decode, "a", 1)) }, at(4, 2), testStart + 6s);
        CHECK(usable("e1"));
    }
    SECTION("nor when the rows of the same era are read again")
    {
        directory.onSnapshot(
            { present(engineRecord("e1", EngineRole::Decode, "a", 1)) }, at(5, 2), testStart + 6s);
        CHECK_FALSE(usable("e1"));
    }
    SECTION("until its registration would have been removed if it had ended")
    {
        directory.sweep(testStart + 21s);
        CHECK(usable("e1"));
    }
    SECTION("also if the registration is removed first")
    {
        directory.onChanges({ removed("e1") }, at(5, 2), testStart + 8s);
        directory.sweep(testStart + 21s);
        CHECK_FALSE(usable("e1"));
    }
}

TEST_CASE_METHOD(BackendDirectoryFixture,
    "Directory, given an older copy in which a draining server is ready, keeps it draining")
{
    auto leaving = engineRecord("e1", EngineRole::Decode, "a", 1);
    leaving.draining = true;
    directory.onChanges({ present(leaving) }, at(6), testStart + 1s);
    directory.onSnapshot(
        { present(engineRecord("e1", EngineRole::Decode, "a", 1)) }, at(3, 2), testStart + 2s);
    CHECK(table.find(BackendId("e1"))->record.draining);
    directory.onSnapshot(
        { present(engineRecord("e1", EngineRole::Decode, "a", 1)) }, at(4, 2), testStart + 3s);
    CHECK(table.find(BackendId("e1"))->record.draining);
}

TEST_CASE_METHOD(BackendDirectoryFixture,
    "Directory, given an older copy that lacks a server, keeps it for a grace period")
{
    directory.onSnapshot({}, at(3, 2), testStart + 5s);
    CHECK(usable("e1"));
    directory.sweep(testStart + 8s);
    CHECK_FALSE(usable("e1"));
}

namespace {

const ServiceName unserved("asset-scan");

// A server at the address of e1 that started at the time.
BackendRecord atAddressOfFirst(const std::string& id, std::int64_t startedAtMs)
{
    auto record = engineRecord(id, EngineRole::Decode, "a", 1);
    record.startedAtMs = startedAtMs;
    return record;
}

class SharedAddressFixture : public BackendDirectoryFixture {
public:
    SharedAddressFixture()
    {
        directory.isServed = [this](const ServiceName& service) { return service == model || servesAll; };
    }

    // The server writes its entry again, as it does at intervals.
    void report(const BackendRecord& record) { directory.onChanges({ present(record) }, next(), testStart); }

    StoreVersion next() { return at(++version); }

    std::uint64_t version = 5;
    bool servesAll = false;
    BackendRecord server = engineRecord("e1", EngineRole::Decode, "a", 1);
};

} // namespace

// Guards against entries of another writer that end all service by naming the addresses of servers.
TEST_CASE_METHOD(SharedAddressFixture,
    "Directory, with an entry of a service that the manifest lacks, goes on using the server at its address")
{
    auto entry = atAddressOfFirst(GENERATE("a0", "z9"), 99);
    entry.service = unserved;
    SECTION("in the feed") { report(entry); }
    SECTION("in a snapshot") { directory.onSnapshot({ present(entry), present(server) }, next(), testStart); }
    SECTION("at the start")
    {
        BackendTable other;
        BackendDirectory started(other);
        started.isServed = directory.isServed;
        started.onSnapshot({ present(server), present(entry) }, at(7), testStart);
        CHECK(other.find(BackendId("e1")));
    }
    CHECK(usable("e1"));
    CHECK(table.usable(unserved, testStart).empty());
}

// Guards against a server that stays displaced although it lives and reports itself.
TEST_CASE_METHOD(
    SharedAddressFixture, "Directory, with a server displaced by an entry, uses it once it reports")
{
    report(atAddressOfFirst("z9", 99));
    CHECK_FALSE(usable("e1"));
    CHECK(directory.isContested(BackendId("e1")));
    report(server);
    CHECK(usable("e1"));
    CHECK_FALSE(usable("z9"));
    SECTION("and goes on when the entry is removed")
    {
        directory.onChanges({ removed("z9") }, next(), testStart);
        CHECK(usable("e1"));
        CHECK_FALSE(directory.isContested(BackendId("e1")));
    }
}

TEST_CASE_METHOD(
    SharedAddressFixture, "Directory, with the entry removed that displaced a server, uses the server again")
{
    report(atAddressOfFirst("z9", 99));
    directory.onChanges({ removed("z9") }, next(), testStart);
    CHECK(usable("e1"));
}

// Guards against a writer that repeats its entries as servers do.
TEST_CASE_METHOD(SharedAddressFixture,
    "Directory, with both entries of an address repeated, uses the one whose server answers there")
{
    const auto other = atAddressOfFirst("z9", 99);
    report(other);
    report(server);
    report(other);
    CHECK(usable("z9"));
    directory.noteAbsent({ BackendId("z9"), 98 });
    CHECK(usable("z9"));
    directory.noteAbsent(lifetimeOf(other));
    CHECK(usable("e1"));
    CHECK_FALSE(usable("z9"));
    SECTION("and a server that started again there")
    {
        report(atAddressOfFirst("z9", 100));
        report(atAddressOfFirst("z9", 100));
        CHECK(usable("z9"));
    }
}

TEST_CASE_METHOD(SharedAddressFixture,
    "Directory, with a service added to the manifest, uses its newer server at an address")
{
    auto newer = atAddressOfFirst("z9", 99);
    newer.service = unserved;
    report(newer);
    CHECK(usable("e1"));
    servesAll = true;
    directory.onServicesChanged();
    CHECK(usable("z9"));
    CHECK_FALSE(usable("e1"));
}

// Guards against orders of writes that no other case has.
TEST_CASE_METHOD(SharedAddressFixture,
    "Directory, after any history of entries, uses each server that lives and has reported again")
{
    std::mt19937_64 random(GENERATE(range(1, 101)));
    const auto draw = [&random](int below) { return static_cast<int>(random() % below); };
    std::map<int, BackendRecord> living;
    std::map<BackendId, BackendRecord> stored;
    std::int64_t time = 100;
    for (int i = 0; i < 60; ++i) {
        const int port = 10 + draw(4);
        const auto id = std::string(1, static_cast<char>('a' + draw(26))) + std::to_string(++time);
        auto record = engineRecord(id, EngineRole::Decode, "a", static_cast<std::uint16_t>(port));
        record.startedAtMs = time;
        switch (draw(5)) {
        case 0:
            // A server starts at the address, whose former one has ended; its entry may stay for a while.
            if (draw(2) == 0 && living.count(port) > 0) {
                stored.erase(living[port].id);
                directory.onChanges({ removed(living[port].id.text()) }, next(), testStart);
            }
            living[port] = stored[record.id] = record;
            report(record);
            break;
        case 1:
            // Another writer, who does not write again.
            record.startedAtMs = draw(300);
            record.service = draw(2) == 0 ? unserved : model;
            stored[record.id] = record;
            report(record);
            break;
        case 2:
            if (living.count(port) > 0)
                report(living[port]);
            break;
        case 3:
            if (!stored.empty()) {
                const auto entry = std::next(stored.begin(), draw(static_cast<int>(stored.size())));
                const bool lives = std::any_of(living.begin(), living.end(),
                    [&entry](const auto& each) { return each.second.id == entry->first; });
                if (!lives) {
                    directory.onChanges({ removed(entry->first.text()) }, next(), testStart);
                    stored.erase(entry);
                }
            }
            break;
        default: {
            std::vector<BackendChange> all;
            all.reserve(stored.size());
            for (const auto& entry : stored)
                all.push_back(present(entry.second));
            std::shuffle(all.begin(), all.end(), random);
            directory.onSnapshot(all, next(), testStart);
        }
        }
    }
    for (const auto& entry : living)
        report(entry.second);
    for (const auto& entry : living) {
        INFO(entry.second.id.text());
        CHECK(usable(entry.second.id.text()));
    }
    std::set<Address> used;
    for (const auto& entry : table.all())
        CHECK(used.insert(entry.second.record.address).second);
}
