#pragma once

#include "Core/HostId.h"
#include "Forwarding/SuspectLane.h"
#include "Serving/CrashRecords.h"
#include "platform/StoreClient.h"

#include <map>
#include <set>
#include <string>

namespace almondscale {

// Keeps the records of suspected requests in the store, where they outlive all hosts,
// and lets suspects run apart by rows that one host alone can write.
class SuspectCoordinator {
public:
    SuspectCoordinator(platform::StoreClient&, CrashRecords&, HostId);

    // Reads the records once and writes those of this host from then on.
    awaitable<void> run();
    // A server ended under the content at this host.
    void noteServerEnd(Fingerprint);
    SuspectLane lane();

private:
    // A row that another host holds, and since when it has been seen unchanged.
    struct HeldRow {
        RowVersion version;
        MonotonicTime since {};
    };

    // A suspect that this host lets run, from before its entry until after its leaving.
    struct Entry {
        RowVersion record;
        RowVersion server;
        // The store did not answer when the suspect left.
        bool leavePending = false;
    };

    awaitable<void> loadRecords();
    awaitable<void> writeRecord(Fingerprint);
    awaitable<LaneEntry> enter(Fingerprint, BackendId);
    awaitable<void> leave(Fingerprint, BackendId);

    // The row with the record, for a holder or none; no value if it is not worth keeping.
    RowWrite recordRow(Fingerprint, const std::string& holder, RowVersion expected) const;
    RowVersion version(const std::string& key) const;
    // Takes in the rows that a write met instead of those that it expected.
    LaneEntry mergeConflict(Fingerprint, const std::string& serverKey, const std::vector<StoredRow>&);
    // Another host holds the row, and has not died with it.
    bool isHeld(const StoredRow&);

    platform::StoreClient& m_store;
    CrashRecords& m_crashes;
    HostId m_host;
    // Versions of rows that nobody holds, as this host last wrote or saw them.
    std::map<std::string, RowVersion> m_versions;
    std::map<std::string, HeldRow> m_heldRows;
    std::set<Fingerprint> m_unwritten;
    std::map<Fingerprint, Entry> m_entries;
};

} // namespace almondscale
