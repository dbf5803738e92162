#include "Serving/BackendDirectory.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

BackendChange present(const BackendRecord& record) { return { record.id, record }; }
BackendChange removed(const std::string& id) { return { BackendId(id), std::nullopt }; }

class BackendDirectoryFixture {
public:
    BackendDirectoryFixture()
        : directory(table)
    {
        directory.onSnapshot({ present(engineRecord("e1", EngineRole::Decode, "a", 1)),
                                 present(engineRecord("e2", EngineRole::Decode, "a", 2)) },
            RowVersion(5), testStart);
    }

    bool usable(const std::string& id) const { return table.find(BackendId(id)) != nullptr; }

    BackendTable table;
    BackendDirectory directory;
};

} // namespace

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, with a registration removed, drops the server at once")
{
    directory.onChanges({ removed("e1") }, RowVersion(6), testStart + 10s);
    CHECK_FALSE(usable("e1"));
    CHECK(usable("e2"));
}

TEST_CASE_METHOD(BackendDirectoryFixture,
    "Directory, with registrations missing after a store outage, keeps them for a grace period")
{
    directory.onReadFailed(testStart + 10s);
    directory.onSnapshot(
        { present(engineRecord("e2", EngineRole::Decode, "a", 2)) }, RowVersion(9), testStart + 11s);
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
            { present(engineRecord("e1", EngineRole::Decode, "a", 1)) }, RowVersion(10), testStart + 12s);
        directory.sweep(testStart + 20s);
        CHECK(usable("e1"));
    }
}

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, with an address reassigned, drops its former server")
{
    std::vector<BackendId> dropped;
    directory.onRemoved = [&](const BackendRecord& record) { dropped.push_back(record.id); };
    directory.onChanges(
        { present(engineRecord("e3", EngineRole::Decode, "a", 1)) }, RowVersion(6), testStart + 1s);
    CHECK_FALSE(usable("e1"));
    CHECK(usable("e3"));
    CHECK(dropped == std::vector<BackendId> { BackendId("e1") });
}

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, given an older snapshot, ignores it")
{
    directory.onSnapshot({}, RowVersion(4), testStart + 1s);
    CHECK(usable("e1"));
}

TEST_CASE_METHOD(BackendDirectoryFixture, "Directory, with a server draining, gives it no new work")
{
    auto leaving = engineRecord("e1", EngineRole::Decode, "a", 1);
    leaving.draining = true;
    directory.onChanges({ present(leaving) }, RowVersion(6), testStart + 1s);
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
    directory.onChanges({ removed("e1") }, RowVersion(6), testStart + 15s);
    CHECK_FALSE(usable("e1"));
}
