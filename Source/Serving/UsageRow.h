#pragma once

#include "Core/RowVersion.h"
#include "Core/StoreEra.h"
#include "Platform/WriteResult.h"
#include "Serving/UsageRecord.h"

#include <string>
#include <vector>

namespace almondscale {

// A row of the table of usage.
struct UsageRow {
    enum class Kind {
        // What one lifetime of a host counted in one window.
        Record,
        // The fixed body of the report of a window.
        Body,
        // The first window whose report is not acknowledged.
        Progress,
    };

    Kind kind = Kind::Record;
    UsageRecordId id;
    UsageCounts counts;
    std::string body;
    // The version read, or for a write the one that the row must have; 0 if it must not exist.
    RowVersion version;
    // For a write: the row is removed, whatever its version is, since nobody needs it any more.
    bool removed = false;
    // Of progress: the era of the store in which it was written; 0 if that is unknown.
    StoreEra era = {};
};

// The result of an atomic write of such rows.
struct UsageRowsWritten {
    WriteOutcome outcome = WriteOutcome::Unknown;
    RowVersion version;
    // After a conflict, the rows that exist.
    std::vector<UsageRow> current;
};

// One write of the store takes at most 100 entries, two for a row that is put on a condition and one for a
// row that is removed. The limit of bytes leaves room for their encoding.
inline constexpr std::size_t maxUsageRowsPerWrite = 50;
inline constexpr std::size_t maxUsageEntriesPerWrite = 100;
inline constexpr std::size_t maxUsageBytesPerWrite = 600'000;

// Estimated size of the counts when encoded.
std::size_t encodedBytes(const UsageCounts&);
// Raises counts to those of another copy. Returns whether any was lower.
bool raiseCounts(UsageCounts&, const UsageCounts& other);

} // namespace almondscale
