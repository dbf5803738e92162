#include "Serving/RowMirror.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime now { 50s };
constexpr auto table = SharedTable::Backends;

StoreVersion at(std::uint64_t version, std::uint64_t era = 1)
{
    return { StoreEra(era), RowVersion(version) };
}

StoredRows rows(StoreVersion newest, std::vector<StoredRow> list, bool whole = false)
{
    StoredRows made;
    made.rows = std::move(list);
    made.newest = newest;
    made.whole = whole;
    return made;
}

StoredRow row(const std::string& key, const std::string& value, std::uint64_t version, bool removed = false)
{
    return { key, value, RowVersion(version), removed };
}

class RowMirrorFixture {
public:
    RowMirrorFixture()
    {
        mirror.onUpdate
            = [this](SharedTable, const StoredRows& each, MonotonicTime) { updates.push_back(each); };
        mirror.apply(table, rows(at(10), { row("x", "1", 4), row("y", "1", 9) }, true), now, now);
        updates.clear();
    }

    RowMirror mirror;
    std::vector<StoredRows> updates;
};

} // namespace

TEST_CASE_METHOD(RowMirrorFixture, "Mirror, given changes, reports only what is new")
{
    mirror.apply(table, rows(at(12), { row("x", "2", 12) }), now + 1s, now + 1s);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].rows.size() == 1);
    mirror.apply(table, rows(at(12), { row("x", "2", 12) }), now + 2s, now + 2s);
    CHECK(updates.size() == 1);
    CHECK(mirror.currentAt(table) == now + 2s);
    const auto lacking = mirror.changesSince(table, at(10));
    REQUIRE(lacking);
    CHECK_FALSE(lacking->whole);
    REQUIRE(lacking->rows.size() == 1);
    CHECK(lacking->rows[0].value == "2");
    CHECK_FALSE(mirror.changesSince(table, at(12)));
}

TEST_CASE_METHOD(RowMirrorFixture, "Mirrors with the same rows, however they got them, have the same digest")
{
    RowMirror other;
    other.apply(table, rows(at(5), { row("x", "1", 4), row("z", "1", 5) }, true), now, now);
    CHECK(other.digest(table) != mirror.digest(table));
    other.apply(table, rows(at(10), { row("y", "1", 9), row("z", "", 10, true) }), now, now);
    CHECK(other.digest(table) == mirror.digest(table));
    other.apply(table, rows(at(11), { row("y", "2", 11) }), now, now);
    CHECK(other.digest(table) != mirror.digest(table));
}

TEST_CASE_METHOD(RowMirrorFixture, "Mirror, given an equivalent value, reports nothing")
{
    mirror.isEquivalent = [](SharedTable, const StoredRow& before, const StoredRow& after) {
        return before.value.front() == after.value.front();
    };
    mirror.apply(table, rows(at(12), { row("x", "1 beat", 12) }), now, now);
    CHECK(updates.empty());
    CHECK(mirror.version(table) == at(12));
}

TEST_CASE_METHOD(RowMirrorFixture, "Mirror, given rows of an older version, ignores them")
{
    mirror.apply(table, rows(at(8), { row("y", "old", 8) }, true), now + 1s, now + 1s);
    CHECK(updates.empty());
    CHECK(mirror.version(table) == at(10));
    CHECK(mirror.currentAt(table) == now);
}

TEST_CASE_METHOD(RowMirrorFixture, "Mirror, given a removal, includes it for readers that lag behind")
{
    mirror.apply(table, rows(at(13), { row("x", "", 13, true) }), now, now);
    const auto lacking = mirror.changesSince(table, at(10));
    REQUIRE(lacking);
    REQUIRE(lacking->rows.size() == 1);
    CHECK(lacking->rows[0].removed);
    const auto all = mirror.changesSince(table, StoreVersion());
    REQUIRE(all);
    CHECK(all->whole);
    CHECK(all->rows.size() == 1);
}

TEST_CASE_METHOD(RowMirrorFixture, "Mirror, replaced as a whole, sends all rows to readers that lag behind")
{
    mirror.apply(table, rows(at(20), { row("z", "1", 18) }, true), now, now);
    const auto lacking = mirror.changesSince(table, at(12));
    REQUIRE(lacking);
    CHECK(lacking->whole);
    REQUIRE(lacking->rows.size() == 1);
    CHECK(lacking->rows[0].key == "z");
}

TEST_CASE("Mirror, given changes before it knows a table, waits for all of its rows")
{
    RowMirror mirror;
    mirror.apply(table, rows(at(12), { row("x", "2", 12) }), now, now);
    CHECK(mirror.empty(table));
    mirror.apply(table, rows(at(12), {}, true), now, now);
    CHECK_FALSE(mirror.empty(table));
}

// Guards against hosts that follow an old manifest after the store came back from an older copy.
TEST_CASE_METHOD(RowMirrorFixture, "Mirror, given all rows of a later era with a lower version, adopts them")
{
    mirror.apply(table, rows(at(6, 2), { row("x", "copy", 4) }, true), now + 1s, now + 1s);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].whole);
    CHECK(mirror.version(table) == at(6, 2));
    CHECK(mirror.hasSeenEraChange());
    SECTION("and then ignores rows of the earlier era with a higher version")
    {
        mirror.apply(table, rows(at(90), { row("x", "late", 90) }, true), now + 2s, now + 2s);
        CHECK(mirror.version(table) == at(6, 2));
        CHECK(mirror.currentAt(table) == now + 1s);
    }
    SECTION("and takes a row whose version was given out before for other contents")
    {
        mirror.apply(table, rows(at(9, 2), { row("y", "2", 9) }), now + 2s, now + 2s);
        const auto lacking = mirror.changesSince(table, at(6, 2));
        REQUIRE(lacking);
        REQUIRE(lacking->rows.size() == 1);
        CHECK(lacking->rows[0].value == "2");
    }
    SECTION("and sends all rows to hosts that have a higher version of the earlier era")
    {
        const auto lacking = mirror.changesSince(table, at(10));
        REQUIRE(lacking);
        CHECK(lacking->whole);
    }
}

TEST_CASE_METHOD(RowMirrorFixture, "Mirror, given only changes of a later era, waits for all of its rows")
{
    mirror.apply(table, rows(at(12, 2), { row("x", "2", 12) }), now + 1s, now + 1s);
    CHECK(updates.empty());
    CHECK(mirror.version(table) == at(10));
    CHECK(mirror.currentAt(table) == now);
}

TEST_CASE_METHOD(
    RowMirrorFixture, "Feed is read from a position behind the version, but not behind the newest row")
{
    mirror.apply(table, rows(at(20), {}), now + 2s, now + 2s);
    CHECK(mirror.feedPosition(table, now + 2s) == RowVersion(10));
    mirror.apply(table, rows(at(30), {}), now + 4s, now + 4s);
    CHECK(mirror.feedPosition(table, now + 4s) == RowVersion(10));
    CHECK(mirror.feedPosition(table, now + 6s) == RowVersion(20));
    mirror.apply(table, rows(at(32), { row("x", "2", 31) }), now + 6s, now + 6s);
    CHECK(mirror.feedPosition(table, now + 6s) == RowVersion(31));
    // A snapshot of the store has all changes.
    mirror.apply(table, rows(at(40), { row("x", "2", 31) }, true), now + 7s, now + 7s);
    CHECK(mirror.feedPosition(table, now + 7s) == RowVersion(40));
}

// Guards against hosts that never get a change because they already have its version.
TEST_CASE_METHOD(RowMirrorFixture, "Change at or below the version is counted, alone and in a snapshot")
{
    mirror.apply(table, rows(at(20), { row("x", "2", 11) }), now + 1s, now + 1s);
    CHECK(mirror.lateChanges(table) == 0);
    mirror.apply(table, rows(at(21), { row("x", "late", 15) }), now + 2s, now + 2s);
    CHECK(updates.size() == 2);
    CHECK(mirror.lateChanges(table) == 1);
    mirror.apply(table, rows(at(21), { row("x", "later", 16), row("y", "1", 9) }, true), now + 3s, now + 3s);
    CHECK(mirror.lateChanges(table) == 2);
    mirror.apply(table, rows(at(21), { row("x", "later", 16) }, true), now + 4s, now + 4s);
    CHECK(mirror.lateChanges(table) == 3);
    mirror.apply(table, rows(at(25), { row("z", "new", 24) }, true), now + 5s, now + 5s);
    CHECK(mirror.lateChanges(table) == 3);
}
