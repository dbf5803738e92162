#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/CopyOrigin.h"
#include "Serving/SharedTable.h"
#include "Serving/StoredRow.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace almondscale {

// This host's replica of the shared tables, updated from the store or by other hosts. A row is replaced only
// by a newer version, and all rows of a table are of one era.
class RowMirror {
public:
    // Called with the changed rows of a table; if `whole` is set, no other rows exist.
    std::function<void(SharedTable, const StoredRows&, MonotonicTime now)> onUpdate;

    // Called whenever a table is confirmed to be current, before onUpdate.
    std::function<void(SharedTable, MonotonicTime now)> onCurrent;
    // Whether the values of a row are equivalent before and after a change, which is then not reported.
    std::function<bool(SharedTable, const StoredRow& before, const StoredRow& after)> isEquivalent;

    // Applies rows that were current at the given time, which is the default if it is unknown. Rows of an
    // older version than the replica are ignored, and changes in another era, since the rows that they do not
    // name may have changed too.
    void apply(SharedTable, const StoredRows&, MonotonicTime currentAt, MonotonicTime now,
        CopyOrigin = CopyOrigin::Store);

    // Whether nothing is known of the table yet.
    bool empty(SharedTable) const;
    StoreVersion version(SharedTable) const;
    // A hash of the rows, which is the same on all hosts with the same rows.
    std::uint64_t digest(SharedTable) const;
    // Whether a table was replaced by its rows in a later era.
    bool hasSeenEraChange() const { return m_eraChanged; }
    // The last time at which the replica was known to be current.
    MonotonicTime currentAt(SharedTable) const;
    // By whom it was.
    CopyOrigin origin(SharedTable) const;
    // The version after which changes are read from the store's feed. It stays behind the replica's, though
    // not behind its newest row, so that a change which the feed shows late is not passed by.
    RowVersion feedPosition(SharedTable, MonotonicTime now) const;
    // Number of times that rows changed at or below the version that the replica had. Others with that
    // version lack these changes.
    std::uint64_t lateChanges(SharedTable) const;
    // The rows changed after the version; unset if there are none.
    std::optional<StoredRows> changesSince(SharedTable, StoreVersion) const;

private:
    struct Table {
        std::map<std::string, StoredRow> rows;
        StoreVersion version;
        MonotonicTime currentAt {};
        CopyOrigin origin = CopyOrigin::None;
        // Removals before this version are no longer known; a reader with an older version gets the whole
        // table.
        StoreVersion oldestRemoval;
        std::uint64_t lateChanges = 0;
        // The highest version of a row, and the versions of the replica by the time at which it got them,
        // from the one that is the feed's position now.
        RowVersion newestRow;
        std::deque<std::pair<MonotonicTime, StoreVersion>> versions;
        bool known = false;
        // Unset when the rows have changed since.
        mutable std::optional<std::uint64_t> digest;
    };

    const Table* find(SharedTable) const;
    // Merges the rows and returns those that changed.
    StoredRows merge(SharedTable, Table&, const StoredRows&);
    bool isRedundant(SharedTable, const Table&, const StoredRow& stored, const StoredRow&) const;
    static StoreVersion versionOf(const Table&, const StoredRow&);
    static void replaceAll(Table&, const StoredRows&);
    // Whether the rows differ from those of the table by a change that its version should have had.
    static bool hasLateChange(const Table&, const StoredRows& all);
    static void pruneRemovals(Table&);
    static void recordVersion(Table&, bool snapshot, MonotonicTime now);

    std::map<SharedTable, Table> m_tables;
    bool m_eraChanged = false;
};

} // namespace almondscale
