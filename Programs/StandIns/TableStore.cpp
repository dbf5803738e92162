#include "StandIns/TableStore.h"

namespace almondscale::standin {

std::optional<TableRow> TableStore::read(const std::string& key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return std::nullopt;
    return found->second;
}

std::vector<TableRow> TableStore::list(const std::string& prefix) const
{
    std::vector<TableRow> rows;
    for (auto row = m_rows.lower_bound(prefix);
         row != m_rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row)
        rows.push_back(row->second);
    return rows;
}

WriteResult TableStore::compareAndSet(
    const std::string& key, const std::string& value, RowVersion expected, const WriterId& writer)
{
    const std::optional<TableRow> current = read(key);
    const RowVersion version = current ? current->version : RowVersion(0);
    if (version != expected)
        return { WriteOutcome::Conflict, version, current };
    const RowVersion next(version.count() + 1);
    m_rows[key] = { key, value, next, writer };
    return { WriteOutcome::Applied, next, std::nullopt };
}

} // namespace almondscale::standin
