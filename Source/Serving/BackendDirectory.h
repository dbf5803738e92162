#pragma once

#include "Core/RowVersion.h"
#include "Serving/BackendChange.h"
#include "Serving/BackendTable.h"

#include <functional>
#include <map>
#include <vector>

namespace almondscale {

// Follows the registrations of backend servers and keeps the table of them
// current. Entries that vanish while the store was away are kept in use until
// living servers had time to register again.
class BackendDirectory {
public:
    explicit BackendDirectory(BackendTable&);

    // A whole reading has come.
    bool hasSnapshot() const { return m_hasSnapshot; }
    // The store answers, and has done so for long enough that entries of servers which
    // have ended are gone.
    bool isCurrent(MonotonicTime now) const;

    // All registrations as of a version; older than what is known is ignored.
    void onSnapshot(const std::vector<BackendChange>&, RowVersion, MonotonicTime now);
    void onChanges(const std::vector<BackendChange>&, RowVersion, MonotonicTime now);
    // The store did not answer, or turned this host away.
    void onReadFailed(MonotonicTime now);
    // The registrations are known to be current, changed or not.
    void onCurrent(MonotonicTime now);
    // Drops the entries whose time to come back is over.
    void sweep(MonotonicTime now);

    // Told of each server that is dropped, has started anew, or whose address another one has now.
    std::function<void(const BackendRecord&)> onRemoved;

private:
    void put(const BackendRecord&);
    void remove(const BackendId&, MonotonicTime now);
    void drop(const BackendId&);

    BackendTable& m_table;
    std::map<BackendId, BackendRecord> m_records;
    // Entries that vanished around an absence of the store, and until when they are kept.
    std::map<BackendId, MonotonicTime> m_lapsed;
    RowVersion m_version;
    bool m_hasSnapshot = false;
    bool m_failing = false;
    MonotonicTime m_storeBackAt {};
};

} // namespace almondscale
