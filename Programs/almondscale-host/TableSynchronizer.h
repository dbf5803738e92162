#pragma once

#include "Core/RandomSource.h"
#include "ReadPacer.h"
#include "ReadSchedule.h"
#include "Serving/HostRecord.h"
#include "Serving/RowMirror.h"
#include "platform/StoreClient.h"

#include <functional>
#include <map>
#include <set>

namespace almondscale {

// Keeps this host's copies of the shared tables current. Reads the store if this host is a
// reader, or if the updates that other hosts pass on are late.
class TableSynchronizer {
public:
    struct Hooks {
        // Whether this host reads the store for its data centre.
        std::function<bool()> reader;
        // A read succeeded: the copy is current, whether or not it changed.
        std::function<void(SharedTable)> onRead;
        // The store did not answer, rejected the call or returned rows older than the copy.
        std::function<void(SharedTable)> onReadFailed;
        // A read that was sent at the time has shown the newest version of the table, and the copy is at
        // least of that version.
        std::function<void(SharedTable, StoreVersion newest, MonotonicTime sentAt)> onNewest = {};
        // Whether this host reads the manifest although it is no reader and its copy is current.
        std::function<bool()> isManifestReadDue = {};
        // A read of the manifest begins; returns how long it may wait for a change.
        std::function<Nanoseconds()> onManifestReadStart = {};
    };

    TableSynchronizer(platform::StoreClient&, RowMirror&, HostRecord self, const TableBounds&, Hooks);

    // Keeps one table current; does not return.
    awaitable<void> follow(SharedTable);
    // Keeps this host's row in the table of hosts; does not return.
    awaitable<void> enroll();

private:
    awaitable<bool> readOnce(SharedTable);
    bool isDue(SharedTable) const;
    bool isManifestReadDue(SharedTable) const;
    // The version after which changes are read.
    RowVersion feedPosition(SharedTable) const;
    // How long a read that begins now waits for a change.
    Nanoseconds startRead(SharedTable);
    // Whether the store has started an era of which the copy has nothing.
    bool isOfEarlierEra(SharedTable) const;

    // The reads of one table.
    struct Reads {
        ReadSchedule schedule;
        ReadPacer pacer;
    };

    platform::StoreClient& m_store;
    RowMirror& m_mirror;
    HostRecord m_self;
    Hooks m_hooks;
    RandomSource m_random;
    MonotonicTime m_startedAt;
    std::map<SharedTable, Reads> m_reads;
    // Tables whose missed changes are no longer in the store's history, until all rows are read.
    std::set<SharedTable> m_snapshotNeeded;
    // Tables whose last read failed.
    std::set<SharedTable> m_unavailable;
};

} // namespace almondscale
