#include "Serving/UsageMeter.h"

#include "Serving/UsageSchedule.h"

#include <algorithm>

namespace almondscale {

UsageMeter::UsageMeter(HostId host, Incarnation incarnation, UsageBounds bounds)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_bounds(bounds)
{
}

void UsageMeter::onRunBegan(const Organisation& organisation, WallTime began, WallTime now)
{
    const auto earliest = m_bounds.windowAt(now - UsageSchedule::lastCount);
    auto& record = m_records[std::max(m_bounds.windowAt(began), earliest)];
    auto& count = record.counts[organisation];
    ++count.requests;
    count.changed = ++m_version;
    record.stored = false;
}

void UsageMeter::advance(WallTime now)
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        auto& [window, record] = *entry;
        if (record.closed == 0 && now >= m_bounds.endOf(window) + UsageSchedule::close)
            record.closed = ++m_version;
        const bool old = now >= m_bounds.endOf(window) + keptUsageWindows * m_bounds.window;
        entry = old ? m_records.erase(entry) : std::next(entry);
    }
}

void UsageMeter::noteStored(const UsageRecordId& id)
{
    const auto found = m_records.find(id.window);
    if (found != m_records.end() && id.host == m_host && id.incarnation == m_incarnation)
        found->second.stored = true;
}

void UsageMeter::onStoreRestored()
{
    for (auto& entry : m_records)
        entry.second.stored = false;
}

std::vector<UsageRecord> UsageMeter::changesSince(std::uint64_t& version) const
{
    std::vector<UsageRecord> changes;
    if (version == m_version)
        return changes;
    for (const auto& [window, record] : m_records) {
        if (version == 0 && record.stored)
            continue;
        UsageRecord change { { m_host, m_incarnation, window }, {}, record.closed != 0 };
        for (const auto& [organisation, count] : record.counts) {
            if (count.changed > version)
                change.counts.emplace(organisation, count.requests);
        }
        if (!change.counts.empty() || record.closed > version)
            changes.push_back(std::move(change));
    }
    version = m_version;
    return changes;
}

} // namespace almondscale
