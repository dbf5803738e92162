#pragma once

#include "Core/RowVersion.h"
#include "Platform/WriteResult.h"
#include "Serving/StoredRow.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// One row of a write that takes effect for all of its rows or for none.
struct RowWrite {
    std::string key;
    // The row is removed if there is none.
    std::optional<std::string> value;
    // The version that the row must have, 0 if it must not exist.
    RowVersion expected;
};

// The answer to such a write.
struct RowsWritten {
    WriteOutcome outcome = WriteOutcome::Unknown;
    RowVersion version;
    // After a conflict, those of the rows that exist.
    std::vector<StoredRow> current;
};

} // namespace almondscale
