#pragma once

#include "Core/HostId.h"
#include "Forwarding/SuspectLock.h"
#include "Serving/CrashRecords.h"
#include "platform/StoreClient.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondscale {

// Persists the crash records of suspects in the store, where they survive the end of all hosts, and locks
// rows there so that suspects run isolated from each other. While data centres are cut off from each other,
// they learn of each other's suspects from these rows.
class SuspectCoordinator {
public:
    SuspectCoordinator(platform::StoreClient&, CrashRecords&, HostId);

    // Loads the records, then writes those that this host changes; does not return.
    awaitable<void> run();
    // A server ended while it ran a request with these subjects for this host.
    void noteServerEnd(const RequestSubjects&);
    // The store came back from an older copy of itself: rows may be gone or have other versions.
    void onStoreRestored();
    // Whether this host has no link to another data centre, so that only the store tells each of the other's
    // suspects.
    std::function<bool()> isCutOff;
    SuspectLock lane();

private:
    // A version of a locked row, and since when this host has seen it.
    struct HeldRow {
        RowVersion version;
        MonotonicTime since {};
    };

    // A suspect that this host runs, with the versions of its locked rows; kept from before they
    // are locked until they are unlocked.
    struct RunningSuspect {
        RowVersion record;
        RowVersion server;
        // The store did not confirm the unlocking, which is retried.
        bool leavePending = false;
    };

    // Merges the records of the store; returns whether the store answered.
    awaitable<bool> loadRecords(bool atStart);
    // Whether the record belongs in the store, or is there.
    bool needsWrite(const CrashSubject&) const;
    // Returns false if the store did not answer.
    awaitable<bool> writeRecord(CrashSubject);
    // Takes some of the subjects whose rows are to be written, those with most terminations: one crash may
    // add thousands of parts.
    std::vector<CrashSubject> takeUnwritten();
    void fillWriteQueue();
    // Has rows written or removed that no longer match the records.
    void reviewRows();
    awaitable<SuspectLockResult> enter(CrashSubject, BackendId);
    awaitable<void> leave(CrashSubject, BackendId);

    bool isSuspect(const CrashSubject&) const;
    // The write of the subject's record, locked by the holder if there is one. Removes the row if
    // the subject is neither suspected nor locked.
    RowWrite recordRow(const CrashSubject&, const std::string& holder, RowVersion expected) const;
    RowVersion version(const std::string& key) const;
    // The store applied the write.
    void noteRow(const RowWrite&, RowVersion);
    // Adopts the current rows after a conflicting write. Entered means that none of them is
    // locked, so that the write can be repeated.
    SuspectLockResult mergeConflict(
        const CrashSubject&, const std::string& serverKey, const std::vector<StoredRow>&);
    // Whether the row is locked. A lock expires when the row stays unchanged for longer than any
    // request runs, since its holder has died.
    bool isHeld(const StoredRow&);

    platform::StoreClient& m_store;
    CrashRecords& m_crashes;
    HostId m_host;
    // Versions of unlocked rows, as this host last wrote or read them.
    std::map<std::string, RowVersion> m_versions;
    std::map<std::string, HeldRow> m_heldRows;
    // Subjects whose rows may have to be written, and those of them that do, the most significant last.
    std::set<CrashSubject> m_unwritten;
    std::vector<CrashSubject> m_writeQueue;
    // Subjects under which servers ended for this host, as long as there is a record or a row.
    std::set<CrashSubject> m_watched;
    std::map<CrashSubject, RunningSuspect> m_runningSuspects;
};

} // namespace almondscale
