#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/SharedTable.h"
#include "Serving/StoredRow.h"

#include <functional>
#include <map>
#include <optional>

namespace almondscale {

// This host's copy of the shared tables, however it came: read from the store, or
// passed on by another host. Rows only ever give way to newer ones.
class RowMirror {
public:
    // Told of what is new in a table; `whole` says that no other rows exist.
    std::function<void(SharedTable, const StoredRows&, MonotonicTime now)> onUpdate;

    // Told whenever a table is known to be current, before any news of it.
    std::function<void(SharedTable, MonotonicTime now)> onCurrent;
    // Whether two values of a row say the same; such a change is not passed on.
    std::function<bool(SharedTable, const std::string& before, const std::string& after)> isEquivalent;

    // Takes rows over that were current at an instant.
    void apply(SharedTable, const StoredRows&, MonotonicTime currentAt, MonotonicTime now);

    // Nothing is known of the table yet.
    bool empty(SharedTable) const;
    RowVersion version(SharedTable) const;
    // The last instant at which the copy was known to be current.
    MonotonicTime currentAt(SharedTable) const;
    // The rows that someone who has the version lacks; nothing if there are none.
    std::optional<StoredRows> changesSince(SharedTable, RowVersion) const;

private:
    struct Table {
        std::map<std::string, StoredRow> rows;
        RowVersion version;
        MonotonicTime currentAt {};
        // Removals before this are forgotten; who has an older version gets the whole table.
        RowVersion oldestRemoval;
        bool known = false;
    };

    const Table* find(SharedTable) const;
    // The rows that say something new.
    StoredRows merge(SharedTable, Table&, const StoredRows&);
    bool isRedundant(SharedTable, const StoredRow& kept, const StoredRow&) const;
    static void replaceAll(Table&, const StoredRows&);
    static void pruneRemovals(Table&);

    std::map<SharedTable, Table> m_tables;
};

} // namespace almondscale
