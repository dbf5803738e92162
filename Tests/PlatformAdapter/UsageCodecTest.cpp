#include "platform/UsageCodec.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::platform;

namespace {

StoredRow stored(const RowWrite& write) { return { write.key, *write.value, RowVersion(3), false }; }

const UsageRow record { UsageRow::Kind::Record, { HostId("a/b"), Incarnation(~0ULL), UsageWindow(353445120) },
    { { Organisation("hule\"930"), 412 } }, {}, RowVersion(3), false };
const UsageRow body { UsageRow::Kind::Body, { {}, {}, UsageWindow(353445120) }, {},
    R"({"windowSeq":353445120,"counts":{}})", RowVersion(0), false };
const UsageRow progress { UsageRow::Kind::Progress, { {}, {}, UsageWindow(99) }, {}, {}, RowVersion(2), false,
    StoreEra(4) };

} // namespace

// Guards against rows that a successor reads differently from how they were written.
TEST_CASE("Rows of usage are read as they were written, and rows of other writers are left out")
{
    const auto writes = encodeUsageRows({ record, body, progress });
    std::vector<StoredRow> rows { { "window/1/body", "{}", RowVersion(1), false },
        { "window/000353445120/record/h", "{}", RowVersion(1), false },
        { "other", "{}", RowVersion(1), false }, { writes[1].key, "cut{", RowVersion(1), false } };
    for (const auto& write : writes)
        rows.push_back(stored(write));
    const auto read = decodeUsageRows(rows);
    REQUIRE(read.size() == 3);
    CHECK(read[0].id.host == record.id.host);
    CHECK(read[0].id.incarnation == record.id.incarnation);
    CHECK(read[0].id.window == record.id.window);
    CHECK(read[0].counts == record.counts);
    CHECK(read[1].body == body.body);
    CHECK(read[2].id.window == progress.id.window);
    CHECK(read[2].era == StoreEra(4));
    CHECK(writes[2].expected == RowVersion(2));
}

TEST_CASE("Row of usage that is removed has no value")
{
    auto row = record;
    row.removed = true;
    CHECK_FALSE(encodeUsageRows({ row })[0].value);
}

// Guards against range reads that miss rows, or take those of another window.
TEST_CASE("Keys of usage sort by window, behind progress, and within the range of their window")
{
    const auto key = [](const UsageRow& row) { return encodeUsageRows({ row })[0].key; };
    const auto start = usageKeyOfWindow(UsageWindow(353445120));
    const auto end = usageKeyOfWindow(UsageWindow(353445121));
    for (const auto& row : { record, body }) {
        CHECK(start < key(row));
        CHECK(key(row) < end);
    }
    CHECK(usageKeyOfWindow(UsageWindow(9)) < usageKeyOfWindow(UsageWindow(10)));
    CHECK(firstUsageKey() == key(progress));
    CHECK(firstUsageKey() < usageKeyOfWindow(UsageWindow(0)));
}
