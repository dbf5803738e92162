#pragma once

#include "Core/RandomSource.h"
#include "Serving/HostRecord.h"
#include "Serving/RowMirror.h"
#include "platform/StoreClient.h"

#include <functional>
#include <set>

namespace almondscale {

// Keeps the copies of the shared tables current: reads the store itself where this
// host is a reader, or where what others pass on has fallen behind.
class TableSynchronizer {
public:
    struct Hooks {
        // Whether this host reads for its data centre.
        std::function<bool()> reader;
        // Something new was read, or the copy is known to be current again.
        std::function<void(SharedTable)> onRead;
        // The store did not answer, or turned this host away.
        std::function<void(SharedTable)> onReadFailed;
    };

    TableSynchronizer(platform::StoreClient&, RowMirror&, HostRecord self, Hooks);

    // Follows one table.
    awaitable<void> follow(SharedTable);
    // Enters this host into the table of hosts.
    awaitable<void> enroll();

private:
    awaitable<bool> readOnce(SharedTable);
    bool isDue(SharedTable) const;

    platform::StoreClient& m_store;
    RowMirror& m_mirror;
    HostRecord m_self;
    Hooks m_hooks;
    RandomSource m_random;
    MonotonicTime m_startedAt;
    // Tables of which changes were missed, until all of their rows were read.
    std::set<SharedTable> m_snapshotNeeded;
    // Tables whose last reading failed.
    std::set<SharedTable> m_unavailable;
};

} // namespace almondscale
