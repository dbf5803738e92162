#pragma once

#include "Core/StoreVersion.h"

#include <string>
#include <vector>

namespace almondscale {

// A row of the platform's store.
struct StoredRow {
    std::string key;
    std::string value;
    RowVersion version;
    // Set in a list of changes for a row that was removed.
    bool removed = false;
};

// Rows of one table as of one version of the store.
struct StoredRows {
    std::vector<StoredRow> rows;
    StoreVersion newest;
    // All rows of the table, rather than only the changes after a version.
    bool whole = false;
    // The read stopped before the end of the table.
    bool more = false;
    // The store no longer has the changes after the requested version.
    bool historyCompacted = false;
};

} // namespace almondscale
