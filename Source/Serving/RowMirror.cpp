#include "Serving/RowMirror.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Removed rows that are remembered for hosts that lag behind.
    constexpr std::size_t mostRemovals = 64;

} // namespace

void RowMirror::apply(SharedTable which, const StoredRows& rows, MonotonicTime currentAt, MonotonicTime now)
{
    auto& table = m_tables[which];
    if (rows.newest < table.version || (!table.known && !rows.whole))
        return;
    table.currentAt = std::max(table.currentAt, currentAt);
    if (onCurrent)
        onCurrent(which, now);
    auto news = merge(which, table, rows);
    const bool first = !table.known;
    table.version = rows.newest;
    table.known = true;
    forgetRemovals(table);
    if (onNews && (first || rows.whole || !news.rows.empty()))
        onNews(which, news, now);
}

StoredRows RowMirror::merge(SharedTable which, Table& table, const StoredRows& rows)
{
    if (rows.whole) {
        replaceAll(table, rows);
        return rows;
    }
    StoredRows news;
    news.newest = rows.newest;
    for (const auto& row : rows.rows) {
        auto& kept = table.rows[row.key];
        if (repeats(which, kept, row))
            continue;
        kept = row;
        news.rows.push_back(row);
    }
    return news;
}

bool RowMirror::repeats(SharedTable which, const StoredRow& kept, const StoredRow& row) const
{
    if (kept.version == RowVersion(0))
        return false;
    if (row.version <= kept.version)
        return true;
    if (kept.removed || row.removed)
        return kept.removed && row.removed;
    return kept.value == row.value || (sameMeaning && sameMeaning(which, kept.value, row.value));
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

std::optional<StoredRows> RowMirror::newsSince(SharedTable which, RowVersion version) const
{
    const auto* table = find(which);
    if (!table || !table->known || table->version <= version)
        return std::nullopt;
    StoredRows news;
    news.newest = table->version;
    news.whole = version == RowVersion(0) || version < table->removalsFrom;
    for (const auto& entry : table->rows) {
        if (news.whole ? !entry.second.removed : version < entry.second.version)
            news.rows.push_back(entry.second);
    }
    return news;
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
    // Which rows went away since an older version is not known any more.
    table.removalsFrom = rows.newest;
}

void RowMirror::forgetRemovals(Table& table)
{
    std::vector<RowVersion> removals;
    for (const auto& entry : table.rows) {
        if (entry.second.removed)
            removals.push_back(entry.second.version);
    }
    if (removals.size() <= mostRemovals)
        return;
    std::sort(removals.begin(), removals.end());
    table.removalsFrom = removals[removals.size() - mostRemovals];
    for (auto row = table.rows.begin(); row != table.rows.end();) {
        if (row->second.removed && row->second.version < table.removalsFrom)
            row = table.rows.erase(row);
        else
            ++row;
    }
}

} // namespace almondscale
