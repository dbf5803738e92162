#pragma once

#include "Core/HostId.h"
#include "Forwarding/SuspectLock.h"
#include "Serving/CrashRecords.h"
#include "platform/StoreClient.h"

#include <map>
#include <set>
#include <string>

namespace almondscale {

// Persists the crash records of suspected requests in the store, where they survive the end of
// all hosts, and locks rows there so that suspects run isolated from each other.
class SuspectCoordinator {
public:
    SuspectCoordinator(platform::StoreClient&, CrashRecords&, HostId);

    // Loads the records once, then writes those that this host changes; does not return.
    awaitable<void> run();
    // A server ended while it ran a request of this content for this host.
    void noteServerEnd(Fingerprint);
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

    awaitable<void> loadRecords();
    awaitable<void> writeRecord(Fingerprint);
    awaitable<SuspectLockResult> enter(Fingerprint, BackendId);
    awaitable<void> leave(Fingerprint, BackendId);

    // The write of the content's record, locked by the holder if there is one. Removes the row if
    // the content is neither suspected nor locked.
    RowWrite recordRow(Fingerprint, const std::string& holder, RowVersion expected) const;
    RowVersion version(const std::string& key) const;
    // Adopts the current rows after a conflicting write. Entered means that none of them is
    // locked, so that the write can be repeated.
    SuspectLockResult mergeConflict(Fingerprint, const std::string& serverKey, const std::vector<StoredRow>&);
    // Whether the row is locked. A lock expires when the row stays unchanged for longer than any
    // request runs, since its holder has died.
    bool isHeld(const StoredRow&);

    platform::StoreClient& m_store;
    CrashRecords& m_crashes;
    HostId m_host;
    // Versions of unlocked rows, as this host last wrote or read them.
    std::map<std::string, RowVersion> m_versions;
    std::map<std::string, HeldRow> m_heldRows;
    std::set<Fingerprint> m_unwritten;
    std::map<Fingerprint, RunningSuspect> m_runningSuspects;
};

} // namespace almondscale
