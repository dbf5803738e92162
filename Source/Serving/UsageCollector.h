#pragma once

#include "Core/Deadline.h"
#include "Serving/UsageBounds.h"
#include "Serving/UsageRow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondscale {

// The records of this host, of those that have it as their reader, and of its reader if it stands in for
// that, until they are in the store. States which rows are to be written and takes the results; performs no
// I/O. A reader writes all records that it has; any other host writes them only if its reader has not
// confirmed them in time.
class UsageCollector {
public:
    explicit UsageCollector(UsageBounds);

    // Adds a record, or the changed counts of one.
    void add(const UsageRecord&);
    // The reader of this host has stored the record.
    void noteStoredByReader(const UsageRecordId&);

    // The rows to write now in one call; empty if there are none, or a write is in flight. While the process
    // is being stopped, its records are due at once.
    std::vector<UsageRow> nextWrite(MonotonicTime now, WallTime time, bool isReader, bool stopping = false);
    // Takes the result of the write that nextWrite returned.
    void onWritten(MonotonicTime now, const UsageRowsWritten&);
    // The store has lost the latest writes: the records of windows after the last one whose report was sent
    // are written again, by readers first.
    void onStoreRestored(MonotonicTime now, std::optional<UsageWindow> lastSent);

    // The closed records of the hosts that were stored after the position; advances the position to the end.
    std::vector<UsageRecordId> storedSince(const std::set<HostId>&, std::uint64_t& position) const;

private:
    struct Entry {
        UsageCounts counts;
        RowVersion version;
        // Rises with each change of the counts; the one that is in the store, and the one being written.
        std::uint64_t revision = 0;
        std::uint64_t stored = 0;
        std::uint64_t writing = 0;
        bool closed = false;
        // Another host has stored it, or its window is reported.
        bool settled = false;

        bool isStored() const { return settled || revision == stored; }
    };

    bool isDue(const UsageRecordId&, const Entry&, WallTime, bool isReader, bool stopping) const;
    void forgetOld(WallTime);
    void onConflict(const std::vector<UsageRow>& current);
    void noteStored(const UsageRecordId&, const Entry&);

    UsageBounds m_bounds;
    std::map<UsageRecordId, Entry> m_entries;
    std::vector<UsageRecordId> m_inFlight;
    bool m_moreDue = false;
    bool m_asReader = false;
    Deadline m_nextAt;
    // After the store came back, a host that is no reader writes from this time on.
    Deadline m_ownWritesFrom;
    int m_failures = 0;
    // The positions at which closed records were stored.
    std::map<std::uint64_t, UsageRecordId> m_storedAt;
    std::uint64_t m_storedPosition = 0;
};

} // namespace almondscale
