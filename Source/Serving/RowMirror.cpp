#include "Serving/RowMirror.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Removed rows that are kept for hosts that lag behind.
    constexpr std::size_t maxRemovals = 64;

} // namespace

void RowMirror::apply(SharedTable which, const StoredRows& rows, MonotonicTime currentAt, MonotonicTime now)
{
    auto& table = m_tables[which];
    if (rows.newest < table.version || (!table.known && !rows.whole))
        return;
    table.currentAt = std::max(table.currentAt, currentAt);
    if (onCurrent)
        onCurrent(which, now);
    auto changes = merge(which, table, rows);
    const bool first = !table.known;
    table.version = rows.newest;
    table.known = true;
    pruneRemovals(table);
    if (onUpdate && (first || rows.whole || !changes.rows.empty()))
        onUpdate(which, changes, now);
}

StoredRows RowMirror::merge(SharedTable which, Table& table, const StoredRows& rows)
{
    if (rows.whole) {
        replaceAll(table, rows);
        return rows;
    }
    StoredRows changes;
    changes.newest = rows.newest;
    for (const auto& row : rows.rows) {
        auto& stored = table.rows[row.key];
        if (isRedundant(which, stored, row))
            continue;
        stored = row;
        changes.rows.push_back(row);
    }
    return changes;
}

bool RowMirror::isRedundant(SharedTable which, const StoredRow& stored, const StoredRow& row) const
{
    if (stored.version == RowVersion(0))
        return false;
    if (row.version <= stored.version)
        return true;
    if (stored.removed || row.removed)
        return stored.removed && row.removed;
    return stored.value == row.value || (isEquivalent && isEquivalent(which, stored.value, row.value));
}

bool RowMirror::empty(SharedTable which) const
{
    const auto* table = find(which);
    return !table || !table->known;
}

RowVersion RowMirror::version(SharedTable which) const
{
    const auto* table = find(which);
    return table ? table->version : RowVersion(0);
}

MonotonicTime RowMirror::currentAt(SharedTable which) const
{
    const auto* table = find(which);
    return table ? table->currentAt : MonotonicTime();
}

std::optional<StoredRows> RowMirror::changesSince(SharedTable which, RowVersion version) const
{
    const auto* table = find(which);
    if (!table || !table->known || table->version <= version)
        return std::nullopt;
    StoredRows changes;
    changes.newest = table->version;
    changes.whole = version == RowVersion(0) || version < table->oldestRemoval;
    for (const auto& entry : table->rows) {
        if (changes.whole ? !entry.second.removed : version < entry.second.version)
            changes.rows.push_back(entry.second);
    }
    return changes;
}

const RowMirror::Table* RowMirror::find(SharedTable which) const
{
    const auto found = m_tables.find(which);
    return found == m_tables.end() ? nullptr : &found->second;
}

void RowMirror::replaceAll(Table& table, const StoredRows& rows)
{
    table.rows.clear();
    for (const auto& row : rows.rows)
        table.rows[row.key] = row;
    // The rows removed since an older version are unknown.
    table.oldestRemoval = rows.newest;
}

void RowMirror::pruneRemovals(Table& table)
{
    std::vector<RowVersion> removals;
    for (const auto& entry : table.rows) {
        if (entry.second.removed)
            removals.push_back(entry.second.version);
    }
    if (removals.size() <= maxRemovals)
        return;
    std::sort(removals.begin(), removals.end());
    table.oldestRemoval = removals[removals.size() - maxRemovals];
    for (auto row = table.rows.begin(); row != table.rows.end();) {
        if (row->second.removed && row->second.version < table.oldestRemoval)
            row = table.rows.erase(row);
        else
            ++row;
    }
}

} // namespace almondscale
