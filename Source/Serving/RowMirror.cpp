#include "Serving/RowMirror.h"

#include "Core/TextHash.h"

#include <algorithm>
#include <string>

namespace almondscale {

namespace {

    // Removed rows that are kept for hosts that lag behind.
    constexpr std::size_t maxRemovals = 64;
    // The feed may show a change this much later than it states a higher version.
    constexpr Nanoseconds feedDelay = std::chrono::seconds(3);

    RowVersion higher(RowVersion a, RowVersion b) { return a.count() < b.count() ? b : a; }

} // namespace

void RowMirror::apply(
    SharedTable which, const StoredRows& rows, MonotonicTime currentAt, MonotonicTime now, CopyOrigin origin)
{
    auto& table = m_tables[which];
    const bool otherEra = table.known && rows.newest.era != table.version.era;
    if (rows.newest < table.version || (!rows.whole && (!table.known || otherEra)))
        return;
    m_eraChanged = m_eraChanged || (otherEra && table.version.era != StoreEra(0));
    if (table.currentAt <= currentAt) {
        table.currentAt = currentAt;
        table.origin = origin;
        if (onCurrent)
            onCurrent(which, now);
    }
    auto changes = merge(which, table, rows);
    if (rows.whole || !changes.rows.empty())
        table.digest.reset();
    const bool first = !table.known;
    table.version = rows.newest;
    table.known = true;
    recordVersion(table, rows.whole && origin == CopyOrigin::Store, now);
    pruneRemovals(table);
    if (onUpdate && (first || rows.whole || !changes.rows.empty()))
        onUpdate(which, changes, now);
}

StoredRows RowMirror::merge(SharedTable which, Table& table, const StoredRows& rows)
{
    if (rows.whole) {
        table.lateChanges += hasLateChange(table, rows) ? 1 : 0;
        replaceAll(table, rows);
        return rows;
    }
    StoredRows changes;
    changes.newest = rows.newest;
    for (const auto& row : rows.rows) {
        table.newestRow = higher(table.newestRow, row.version);
        auto& stored = table.rows[row.key];
        if (isRedundant(which, table, stored, row))
            continue;
        table.lateChanges += versionOf(table, row) <= table.version ? 1 : 0;
        stored = row;
        changes.rows.push_back(row);
    }
    return changes;
}

StoreVersion RowMirror::versionOf(const Table& table, const StoredRow& row)
{
    return { table.version.era, row.version };
}

bool RowMirror::isRedundant(
    SharedTable which, const Table& table, const StoredRow& stored, const StoredRow& row) const
{
    if (stored.version == RowVersion(0))
        return false;
    if (versionOf(table, row) <= versionOf(table, stored))
        return true;
    if (stored.removed || row.removed)
        return stored.removed && row.removed;
    return stored.value == row.value || (isEquivalent && isEquivalent(which, stored, row));
}

bool RowMirror::empty(SharedTable which) const
{
    const auto* table = find(which);
    return !table || !table->known;
}

StoreVersion RowMirror::version(SharedTable which) const
{
    const auto* table = find(which);
    return table ? table->version : StoreVersion();
}

MonotonicTime RowMirror::currentAt(SharedTable which) const
{
    const auto* table = find(which);
    return table ? table->currentAt : MonotonicTime();
}

CopyOrigin RowMirror::origin(SharedTable which) const
{
    const auto* table = find(which);
    return table ? table->origin : CopyOrigin::None;
}

std::optional<StoredRows> RowMirror::changesSince(SharedTable which, StoreVersion version) const
{
    const auto* table = find(which);
    if (!table || !table->known || table->version <= version)
        return std::nullopt;
    StoredRows changes;
    changes.newest = table->version;
    changes.whole = version.version == RowVersion(0) || version.era != table->version.era
        || version < table->oldestRemoval;
    for (const auto& entry : table->rows) {
        if (changes.whole ? !entry.second.removed : version < versionOf(*table, entry.second))
            changes.rows.push_back(entry.second);
    }
    return changes;
}

std::uint64_t RowMirror::digest(SharedTable which) const
{
    const auto* table = find(which);
    if (!table)
        return emptyTextHash;
    if (!table->digest) {
        auto hash = emptyTextHash;
        for (const auto& entry : table->rows) {
            const auto& row = entry.second;
            if (!row.removed)
                hash = addToTextHash(
                    addToTextHash(hash, row.key + '\n' + std::to_string(row.version.count()) + '\n'),
                    row.value);
        }
        table->digest = hash;
    }
    return *table->digest;
}

const RowMirror::Table* RowMirror::find(SharedTable which) const
{
    const auto found = m_tables.find(which);
    return found == m_tables.end() ? nullptr : &found->second;
}

void RowMirror::replaceAll(Table& table, const StoredRows& rows)
{
    table.rows.clear();
    table.newestRow = RowVersion();
    for (const auto& row : rows.rows) {
        table.rows[row.key] = row;
        table.newestRow = higher(table.newestRow, row.version);
    }
    // The rows removed since an older version are unknown.
    table.oldestRemoval = rows.newest;
}

void RowMirror::recordVersion(Table& table, bool snapshot, MonotonicTime now)
{
    auto& versions = table.versions;
    // All changes up to a snapshot are in it, and versions of an earlier era mean nothing.
    if (snapshot || (!versions.empty() && versions.back().second.era != table.version.era))
        versions.clear();
    if (versions.empty() || versions.back().second < table.version)
        versions.emplace_back(now, table.version);
    while (versions.size() > 1 && versions[1].first <= now - feedDelay)
        versions.pop_front();
}

bool RowMirror::hasLateChange(const Table& table, const StoredRows& all)
{
    if (!table.known || all.newest.era != table.version.era)
        return false;
    std::size_t present = 0;
    for (const auto& row : all.rows) {
        const auto stored = table.rows.find(row.key);
        const bool known = stored != table.rows.end() && !stored->second.removed;
        present += known ? 1 : 0;
        if (versionOf(table, row) <= table.version && (!known || stored->second.value != row.value))
            return true;
    }
    const auto before = std::count_if(
        table.rows.begin(), table.rows.end(), [](const auto& entry) { return !entry.second.removed; });
    return all.newest == table.version && static_cast<std::size_t>(before) > present;
}

std::uint64_t RowMirror::lateChanges(SharedTable which) const
{
    const auto* table = find(which);
    return table ? table->lateChanges : 0;
}

RowVersion RowMirror::feedPosition(SharedTable which, MonotonicTime now) const
{
    const auto* table = find(which);
    if (!table || table->versions.empty())
        return {};
    auto position = table->versions.front().second.version;
    for (const auto& [learnedAt, version] : table->versions) {
        if (learnedAt <= now - feedDelay)
            position = version.version;
    }
    return higher(position, table->newestRow);
}

void RowMirror::pruneRemovals(Table& table)
{
    std::vector<StoreVersion> removals;
    for (const auto& entry : table.rows) {
        if (entry.second.removed)
            removals.push_back(versionOf(table, entry.second));
    }
    if (removals.size() <= maxRemovals)
        return;
    std::sort(removals.begin(), removals.end());
    table.oldestRemoval = removals[removals.size() - maxRemovals];
    for (auto row = table.rows.begin(); row != table.rows.end();) {
        if (row->second.removed && versionOf(table, row->second) < table.oldestRemoval)
            row = table.rows.erase(row);
        else
            ++row;
    }
}

} // namespace almondscale
