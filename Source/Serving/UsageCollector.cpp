#include "Serving/UsageCollector.h"

#include "Serving/UsageSchedule.h"

#include <algorithm>

namespace almondscale {

namespace {

    constexpr Nanoseconds conflictDelay = std::chrono::milliseconds(50);
    constexpr Nanoseconds minRetryDelay = std::chrono::milliseconds(300);
    constexpr Nanoseconds maxRetryDelay = std::chrono::milliseconds(600);
    // Hosts that are not readers are many, and write only what their readers will usually write as well.
    constexpr Nanoseconds ownRetryDelay = std::chrono::seconds(5);

} // namespace

UsageCollector::UsageCollector(UsageBounds bounds)
    : m_bounds(bounds)
{
}

void UsageCollector::add(const UsageRecord& record)
{
    auto& entry = m_entries[record.id];
    if (raiseCounts(entry.counts, record.counts)) {
        ++entry.revision;
        entry.settled = false;
    }
    const bool closes = record.closed && !entry.closed;
    entry.closed = entry.closed || record.closed;
    if (closes)
        noteStored(record.id, entry);
}

void UsageCollector::noteStoredByReader(const UsageRecordId& id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.settled = true;
}

bool UsageCollector::isDue(
    const UsageRecordId& id, const Entry& entry, WallTime time, bool isReader, bool stopping) const
{
    if (entry.isStored())
        return false;
    const auto delay = isReader ? UsageSchedule::write : UsageSchedule::ownWrite;
    return (stopping && isReader) || time >= m_bounds.endOf(id.window) + delay;
}

std::vector<UsageRow> UsageCollector::nextWrite(
    MonotonicTime now, WallTime time, bool isReader, bool stopping)
{
    forgetOld(time);
    std::vector<UsageRow> rows;
    const bool waits = !m_nextAt.passed(now) || (!isReader && !m_ownWritesFrom.passed(now));
    if (!m_inFlight.empty() || (!stopping && waits))
        return rows;
    std::size_t bytes = 0;
    m_moreDue = false;
    m_asReader = isReader;
    for (auto& [id, entry] : m_entries) {
        if (!isDue(id, entry, time, isReader, stopping))
            continue;
        bytes += encodedBytes(entry.counts);
        if (rows.size() == maxUsageRowsPerWrite || (!rows.empty() && bytes > maxUsageBytesPerWrite)) {
            m_moreDue = true;
            break;
        }
        entry.writing = entry.revision;
        m_inFlight.push_back(id);
        rows.push_back({ UsageRow::Kind::Record, id, entry.counts, {}, entry.version, false });
    }
    return rows;
}

void UsageCollector::onWritten(MonotonicTime now, const UsageRowsWritten& written)
{
    switch (written.outcome) {
    case WriteOutcome::Applied:
        for (const auto& id : m_inFlight) {
            const auto found = m_entries.find(id);
            if (found == m_entries.end())
                continue;
            found->second.version = written.version;
            found->second.stored = found->second.writing;
            noteStored(id, found->second);
        }
        m_failures = 0;
        m_nextAt = Deadline::after(now, m_moreDue ? Nanoseconds(0) : UsageSchedule::rewriteInterval);
        break;
    case WriteOutcome::Conflict:
        onConflict(written.current);
        m_nextAt = Deadline::after(now, conflictDelay);
        break;
    case WriteOutcome::NotApplied:
    case WriteOutcome::Unknown:
        // If the write was applied, its repetition conflicts and shows the row.
        m_nextAt = Deadline::after(now,
            m_asReader ? std::min(minRetryDelay * (1 << std::min(m_failures, 4)), maxRetryDelay)
                       : ownRetryDelay);
        ++m_failures;
        break;
    }
    m_inFlight.clear();
}

void UsageCollector::onConflict(const std::vector<UsageRow>& current)
{
    bool explained = false;
    for (const auto& row : current) {
        const auto found = m_entries.find(row.id);
        if (row.kind != UsageRow::Kind::Record || found == m_entries.end())
            continue;
        auto& entry = found->second;
        if (entry.version == row.version)
            continue;
        explained = true;
        entry.version = row.version;
        auto stored = row.counts;
        const bool missesSome = raiseCounts(stored, entry.counts);
        entry.counts = std::move(stored);
        if (missesSome) {
            ++entry.revision;
        } else {
            entry.stored = entry.revision;
            noteStored(row.id, entry);
        }
    }
    if (explained)
        return;
    // A row that this host has written is removed only once the body of its window is fixed.
    for (const auto& id : m_inFlight) {
        const bool exists = std::any_of(current.begin(), current.end(),
            [&id](const UsageRow& row) { return !(row.id < id) && !(id < row.id); });
        const auto found = m_entries.find(id);
        if (exists || found == m_entries.end() || found->second.version == RowVersion(0))
            continue;
        found->second.settled = true;
        noteStored(id, found->second);
    }
}

void UsageCollector::onStoreRestored(MonotonicTime now, std::optional<UsageWindow> lastSent)
{
    m_ownWritesFrom = Deadline::after(now, UsageSchedule::ownWrite - UsageSchedule::write);
    for (auto& [id, entry] : m_entries) {
        entry.version = RowVersion(0);
        entry.stored = 0;
        // The host that stored it may be gone, and its write lost.
        entry.settled = lastSent >= id.window;
    }
}

void UsageCollector::noteStored(const UsageRecordId& id, const Entry& entry)
{
    // Before its window is closed a record may grow, and the host that counted must keep it.
    if (entry.closed && entry.isStored())
        m_storedAt.emplace(++m_storedPosition, id);
}

std::vector<UsageRecordId> UsageCollector::storedSince(
    const std::set<HostId>& hosts, std::uint64_t& position) const
{
    std::vector<UsageRecordId> ids;
    for (auto entry = m_storedAt.upper_bound(position); entry != m_storedAt.end(); ++entry) {
        if (hosts.count(entry->second.host) > 0)
            ids.push_back(entry->second);
    }
    position = m_storedPosition;
    return ids;
}

void UsageCollector::forgetOld(WallTime time)
{
    const auto isOld = [&](const UsageRecordId& id) {
        return time >= m_bounds.endOf(id.window) + keptUsageWindows * m_bounds.window;
    };
    while (!m_entries.empty() && isOld(m_entries.begin()->first))
        m_entries.erase(m_entries.begin());
    while (!m_storedAt.empty() && isOld(m_storedAt.begin()->second))
        m_storedAt.erase(m_storedAt.begin());
}

} // namespace almondscale
