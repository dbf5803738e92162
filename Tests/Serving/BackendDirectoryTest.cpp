#include "Serving/BackendDirectory.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

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
