#pragma once

#include "Platform/TableRow.h"

#include <optional>

namespace almondscale {

// The outcome of a conditional write, as far as it is known.
enum class WriteOutcome {
    // The write took effect.
    Applied,
    // The row has another version, given in WriteResult::current if the response holds it.
    Conflict,
    // The write is certain not to have taken effect, for instance because it never reached the table.
    NotApplied,
    // No usable response was received; the write may have taken effect.
    Unknown,
};

// The result of a conditional write.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    RowVersion version;
    std::optional<TableRow> current;
};

} // namespace almondscale
