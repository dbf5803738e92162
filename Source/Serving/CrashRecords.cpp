#include "Serving/CrashRecords.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondscale {

namespace {

    MonotonicTime lastEnd(const CrashRecord& record)
    {
        MonotonicTime last {};
        for (const auto& end : record.ends)
            last = std::max(last, end.endedAt);
        return last;
    }

} // namespace

CrashRecords::CrashRecords(CrashRecordOptions options)
    : m_options(options)
{
}

Suspicion CrashRecords::suspicion(Fingerprint content, MonotonicTime now) const
{
    const auto found = m_entries.find(content);
    if (found == m_entries.end())
        return Suspicion::None;
    const auto& ends = found->second.record.ends;
    // Concurrent terminations make the content a suspect too.
    const auto counted
        = std::count_if(ends.begin(), ends.end(), [&](const auto& end) { return isCounted(end); });
    if (counted < m_options.suspectAfter)
        return Suspicion::None;
    const bool isolated = std::any_of(ends.begin(), ends.end(),
        [&](const auto& end) { return end.apart && end.evidence != EndEvidence::Unsure && isCounted(end); });
    const bool refused = isolated
        ? consecutiveEnds(found->second, EndEvidence::Unsure) >= m_options.refuseAfter
        : consecutiveEnds(found->second, EndEvidence::Certain) >= m_options.refuseUnisolatedAfter;
    return refused && !refusedUntil(content).passed(now) ? Suspicion::Refuse : Suspicion::Isolate;
}

Deadline CrashRecords::refusedUntil(Fingerprint content) const
{
    const auto* record = find(content);
    return Deadline::after(record ? lastEnd(*record) : MonotonicTime(), m_options.refusalTime);
}

const CrashRecord* CrashRecords::find(Fingerprint content) const
{
    const auto found = m_entries.find(content);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

int CrashRecords::consecutiveEnds(Fingerprint content) const
{
    const auto found = m_entries.find(content);
    return found == m_entries.end() ? 0 : consecutiveEnds(found->second, EndEvidence::Unsure);
}

bool CrashRecords::isCounted(const ServerEnd& end) const
{
    if (end.withdrawn)
        return false;
    const auto first = m_firstEndedAt.find(end.server);
    return first == m_firstEndedAt.end() || end.sentAt <= first->second + m_options.propagationDelay;
}

int CrashRecords::nextStep(Fingerprint content) const
{
    int next = 0;
    if (const auto* record = find(content)) {
        for (const auto& end : record->ends)
            next = std::max(next, end.step + 1);
    }
    return next;
}

int CrashRecords::consecutiveEnds(const Entry& entry, EndEvidence minEvidence) const
{
    // Runs with the same step may have been concurrent.
    std::set<int> steps;
    for (const auto& end : entry.record.ends) {
        if (end.evidence >= minEvidence && isCounted(end))
            steps.insert(end.step);
    }
    return static_cast<int>(steps.size());
}

void CrashRecords::noteEnd(Fingerprint content, const ServerEnd& end)
{
    const auto known = m_firstEndedAt.find(end.server);
    if (known != m_firstEndedAt.end() && known->second < end.sentAt)
        return;
    auto& found = entry(content);
    if (add(found, end))
        recordChange(found);
}

void CrashRecords::withdraw(Entry& entry, const std::function<bool(const ServerEnd&)>& predicate)
{
    bool changed = false;
    for (auto& end : entry.record.ends) {
        if (end.withdrawn || !predicate(end))
            continue;
        end.withdrawn = true;
        changed = true;
    }
    if (changed)
        recordChange(entry);
}

void CrashRecords::noteCompleted(Fingerprint content, bool prefill)
{
    const auto found = m_entries.find(content);
    if (found != m_entries.end())
        withdraw(found->second, [&](const auto& end) { return end.prefill == prefill; });
}

void CrashRecords::noteAlive(const BackendLifetime& server, MonotonicTime sentAt)
{
    const auto ended = m_firstEndedAt.find(server);
    if (ended == m_firstEndedAt.end() || sentAt < ended->second
        || sentAt > ended->second + m_options.aliveWithin)
        return;
    for (auto& found : m_entries)
        withdraw(found.second, [&](const auto& end) { return end.server == server; });
    m_firstEndedAt.erase(ended);
}

void CrashRecords::noteDeregistered(const BackendLifetime& server, MonotonicTime now)
{
    const auto ended = m_firstEndedAt.find(server);
    if (ended == m_firstEndedAt.end() || now > ended->second + m_options.deregistrationTime)
        return;
    for (auto& found : m_entries) {
        for (auto& end : found.second.record.ends) {
            if (end.server == server && std::exchange(end.evidence, EndEvidence::Gone) != EndEvidence::Gone)
                recordChange(found.second);
        }
    }
}

void CrashRecords::merge(const CrashRecord& record)
{
    if (record.ends.empty())
        return;
    auto& found = entry(record.content);
    bool changed = false;
    for (const auto& end : record.ends)
        changed = add(found, end) || changed;
    if (changed)
        recordChange(found);
}

bool CrashRecords::add(Entry& entry, const ServerEnd& end)
{
    const auto first = m_firstEndedAt.emplace(end.server, end.endedAt);
    first.first->second = std::min(first.first->second, end.endedAt);
    auto& ends = entry.record.ends;
    const auto known
        = std::find_if(ends.begin(), ends.end(), [&](const auto& each) { return each.server == end.server; });
    if (known != ends.end()) {
        const bool changed = known->evidence < end.evidence || (end.apart && !known->apart)
            || (end.withdrawn && !known->withdrawn);
        known->evidence = std::max(known->evidence, end.evidence);
        known->apart = known->apart || end.apart;
        known->withdrawn = known->withdrawn || end.withdrawn;
        return changed;
    }
    ends.push_back(end);
    if (ends.size() <= m_options.maxEndsPerRecord)
        return true;
    // Evict withdrawn terminations first, then the oldest.
    const auto evicted = std::min_element(ends.begin(), ends.end(), [](const auto& a, const auto& b) {
        return std::pair(!a.withdrawn, a.endedAt) < std::pair(!b.withdrawn, b.endedAt);
    });
    const bool added = evicted->server != end.server;
    ends.erase(evicted);
    return added;
}

CrashRecords::Entry& CrashRecords::entry(Fingerprint content)
{
    const auto found = m_entries.find(content);
    if (found != m_entries.end())
        return found->second;
    if (m_entries.size() >= m_options.maxRecords)
        evictOne();
    auto& added = m_entries[content];
    added.record.content = content;
    return added;
}

void CrashRecords::recordChange(Entry& entry)
{
    m_byChange.erase(entry.changed);
    entry.changed = ++m_version;
    m_byChange[entry.changed] = entry.record.content;
    entry.consecutive = consecutiveEnds(entry, EndEvidence::Unsure);
}

// Evicts the least significant record: fewest consecutive terminations, then the oldest change.
void CrashRecords::evictOne()
{
    const auto evicted
        = std::min_element(m_entries.begin(), m_entries.end(), [this](const auto& a, const auto& b) {
              return std::pair(a.second.consecutive, a.second.changed)
                  < std::pair(b.second.consecutive, b.second.changed);
          });
    erase(evicted->first);
}

void CrashRecords::erase(Fingerprint content)
{
    const auto found = m_entries.find(content);
    m_byChange.erase(found->second.changed);
    m_entries.erase(found);
}

void CrashRecords::sweep(MonotonicTime now, const std::function<bool(const BackendLifetime&)>& registered)
{
    for (auto& found : m_entries) {
        withdraw(found.second, [&](const auto& end) {
            return end.evidence != EndEvidence::Gone && now > end.endedAt + m_options.deregistrationTime
                && registered(end.server);
        });
    }
    std::vector<Fingerprint> old;
    for (const auto& [content, entry] : m_entries) {
        if (Deadline::after(lastEnd(entry.record), m_options.lifetime).passed(now))
            old.push_back(content);
    }
    for (const auto content : old)
        erase(content);
    for (auto ended = m_firstEndedAt.begin(); ended != m_firstEndedAt.end();) {
        const bool past = Deadline::after(ended->second, m_options.lifetime).passed(now);
        ended = past ? m_firstEndedAt.erase(ended) : std::next(ended);
    }
}

std::vector<CrashRecord> CrashRecords::changesSince(std::uint64_t& version, std::size_t maxCount) const
{
    std::vector<CrashRecord> changes;
    for (auto change = m_byChange.upper_bound(version); change != m_byChange.end(); ++change) {
        if (changes.size() >= maxCount)
            break;
        changes.push_back(m_entries.at(change->second).record);
        version = change->first;
    }
    return changes;
}

} // namespace almondscale
