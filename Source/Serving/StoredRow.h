#pragma once

#include "Core/RowVersion.h"

#include <string>
#include <vector>

namespace almondscale {

// One row of the platform's store.
struct StoredRow {
    std::string key;
    std::string value;
    RowVersion version;
    // A list of changes tells of rows that were removed.
    bool removed = false;
};

// Rows of one table as of one version of the store.
struct StoredRows {
    std::vector<StoredRow> rows;
    RowVersion newest;
    // All rows of the table, not only the changes after an earlier version.
    bool whole = false;
    // The reading stopped before the end of the table.
    bool more = false;
    // The store no longer has the changes after the version that was asked for.
    bool historyCompacted = false;
};

} // namespace almondscale
