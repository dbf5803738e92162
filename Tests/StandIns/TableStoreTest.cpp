#include "StandIns/TableStore.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::standin;

TEST_CASE("Insert, of a row that is there, conflicts and returns the row", "[platform]")
{
    TableStore table;
    REQUIRE(table.compareAndSet("booking/k", "one", RowVersion(0), WriterId("w1")).outcome
        == WriteOutcome::Applied);
    const WriteResult second = table.compareAndSet("booking/k", "two", RowVersion(0), WriterId("w2"));
    CHECK(second.outcome == WriteOutcome::Conflict);
    REQUIRE(second.current);
    CHECK(second.current->value == "one");
    CHECK(second.current->writer == WriterId("w1"));
}

TEST_CASE("Update, with the version that is there, raises it and no other does", "[platform]")
{
    TableStore table;
    const RowVersion first = table.compareAndSet("k", "1", RowVersion(0), WriterId("w")).version;
    CHECK(table.compareAndSet("k", "2", first, WriterId("w")).outcome == WriteOutcome::Applied);
    CHECK(table.compareAndSet("k", "3", first, WriterId("w")).outcome == WriteOutcome::Conflict);
    CHECK(table.read("k")->value == "2");
}

TEST_CASE("List, by prefix, has just its rows in key order", "[platform]")
{
    TableStore table;
    for (const char* key : { "lease/b", "lease/a", "leash", "booking/x" })
        table.compareAndSet(key, "v", RowVersion(0), WriterId("w"));
    const auto rows = table.list("lease/");
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].key == "lease/a");
    CHECK(rows[1].key == "lease/b");
}
