#pragma once

#include "Platform/TableRow.h"

#include <optional>

namespace almondscale {

// What is known after a conditional write.
enum class WriteOutcome {
    // The row now has the value.
    Applied,
    // Another version is there; it is in WriteResult::current if the table told it.
    Conflict,
    // The write was proved not to have taken effect: it never reached the table.
    NotApplied,
    // The answer was lost; the write may have taken effect.
    Unknown,
};

// The answer to a conditional write.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    RowVersion version;
    std::optional<TableRow> current;
};

} // namespace almondscale
