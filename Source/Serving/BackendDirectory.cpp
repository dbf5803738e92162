#include "Serving/BackendDirectory.h"

#include "Serving/BackendLifetime.h"

#include <set>

namespace almondscale {

namespace {

    // Servers register again within 2 s of the store's return; the rest is for reading the registrations.
    constexpr Nanoseconds reregistrationTime = std::chrono::milliseconds(2300);

} // namespace

BackendDirectory::BackendDirectory(BackendTable& table)
    : m_table(table)
{
}

void BackendDirectory::onSnapshot(
    const std::vector<BackendChange>& entries, RowVersion version, MonotonicTime now)
{
    if (version < m_version)
        return;
    std::set<BackendId> listed;
    std::vector<BackendId> removed;
    for (const auto& entry : entries) {
        if (entry.record)
            listed.insert(entry.id);
    }
    for (const auto& known : m_records) {
        if (listed.count(known.first) == 0)
            removed.push_back(known.first);
    }
    onChanges(entries, version, now);
    for (const auto& id : removed)
        remove(id, now);
    m_hasSnapshot = true;
}

void BackendDirectory::onChanges(
    const std::vector<BackendChange>& changes, RowVersion version, MonotonicTime now)
{
    if (version < m_version)
        return;
    m_version = version;
    onCurrent(now);
    for (const auto& change : changes) {
        if (change.record)
            put(*change.record);
        else
            remove(change.id, now);
    }
}

void BackendDirectory::onReadFailed(MonotonicTime now)
{
    m_failing = true;
    m_storeBackAt = now;
}

void BackendDirectory::onCurrent(MonotonicTime now)
{
    if (!m_failing)
        return;
    m_failing = false;
    m_storeBackAt = now;
}

bool BackendDirectory::isCurrent(MonotonicTime now) const
{
    return m_hasSnapshot && !m_failing
        && (m_storeBackAt == MonotonicTime() || now - m_storeBackAt >= reregistrationTime);
}

void BackendDirectory::sweep(MonotonicTime now)
{
    std::vector<BackendId> over;
    for (const auto& entry : m_lapsed) {
        if (entry.second <= now)
            over.push_back(entry.first);
    }
    for (const auto& id : over)
        drop(id);
}

void BackendDirectory::put(const BackendRecord& record)
{
    m_lapsed.erase(record.id);
    for (auto known = m_records.begin(); known != m_records.end(); ++known) {
        if (known->first == record.id || known->second.address != record.address)
            continue;
        // A terminated server's address was reassigned to this one.
        drop(BackendId(known->first));
        break;
    }
    const auto before = m_records.find(record.id);
    if (before != m_records.end() && lifetimeOf(before->second) != lifetimeOf(record) && onRemoved)
        onRemoved(before->second);
    m_records[record.id] = record;
    m_table.put(record);
}

void BackendDirectory::remove(const BackendId& id, MonotonicTime now)
{
    if (m_records.count(id) == 0)
        return;
    const bool storeWasUnavailable
        = m_storeBackAt != MonotonicTime() && now - m_storeBackAt < reregistrationTime;
    if (storeWasUnavailable)
        m_lapsed.emplace(id, m_storeBackAt + reregistrationTime);
    else
        drop(id);
}

void BackendDirectory::drop(const BackendId& id)
{
    m_lapsed.erase(id);
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    const auto record = found->second;
    m_records.erase(found);
    m_table.remove(id);
    if (onRemoved)
        onRemoved(record);
}

} // namespace almondscale
