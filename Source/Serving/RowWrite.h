#pragma once

#include "Core/RowVersion.h"
#include "Platform/WriteResult.h"
#include "Serving/StoredRow.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// One row of an atomic write.
struct RowWrite {
    std::string key;
    // Unset to remove the row.
    std::optional<std::string> value;
    // The version that the row must have; 0 if it must not exist.
    RowVersion expected;
    // Unset if the row is written whatever its version is.
    bool conditional = true;
};

// The result of an atomic write.
struct RowsWritten {
    WriteOutcome outcome = WriteOutcome::Unknown;
    RowVersion version;
    // After a conflict, the current versions of those rows that exist.
    std::vector<StoredRow> current;
};

} // namespace almondscale
