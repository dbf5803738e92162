#include "Dispatch/CrashStrikes.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace almondscale {

class CrashStrikes::Impl {
public:
    explicit Impl(CrashStrikeOptions options)
        : m_options(options)
    {
    }

    struct Entry {
        StrikeRecord record;
        // When the last crash became known here.
        MonotonicTime crashKnownAt;
    };

    StrikeVerdict verdict(const Entry& entry, MonotonicTime now) const
    {
        const auto& record = entry.record;
        if (now >= record.expiresAt)
            return StrikeVerdict::Normal;
        const bool blamed = std::any_of(record.alone.begin(), record.alone.end(),
            [&](const EngineInstance& run) { return record.cleared.count(run) == 0 && ranAlone(run); });
        const bool cleared = std::includes(
            record.cleared.begin(), record.cleared.end(), record.crashes.begin(), record.crashes.end());
        if (!blamed && cleared)
            return StrikeVerdict::Normal;
        if (now < entry.crashKnownAt + m_options.settleTime)
            return StrikeVerdict::Deciding;
        return blamed ? StrikeVerdict::Refused : StrikeVerdict::Suspect;
    }

    // Any other request recorded with the same crash shows that the engine was shared.
    bool ranAlone(const EngineInstance& run) const
    {
        const auto found = m_byRun.find(run);
        return found != m_byRun.end() && found->second.size() == 1;
    }

    Entry& entry(Fingerprint fingerprint, MonotonicTime now)
    {
        auto found = m_entries.find(fingerprint);
        if (found != m_entries.end())
            return found->second;
        if (m_entries.size() >= m_options.maxRecords)
            makeRoom(now);
        auto& added = m_entries[fingerprint];
        added.record.fingerprint = fingerprint;
        return added;
    }

    // Erases expired records or, if there are none, one record: the mildest verdict first, so that
    // refused requests are kept longest.
    void makeRoom(MonotonicTime now)
    {
        std::vector<Fingerprint> expired;
        auto least = m_entries.end();
        for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
            if (now >= entry->second.record.expiresAt)
                expired.push_back(entry->first);
            else if (least == m_entries.end() || rank(entry->second, now) < rank(least->second, now))
                least = entry;
        }
        if (expired.empty() && least != m_entries.end())
            expired.push_back(least->first);
        for (const auto fingerprint : expired)
            erase(fingerprint);
    }

    std::pair<StrikeVerdict, MonotonicTime> rank(const Entry& entry, MonotonicTime now) const
    {
        return { verdict(entry, now), entry.record.expiresAt };
    }

    void erase(Fingerprint fingerprint)
    {
        for (const auto& run : m_entries[fingerprint].record.crashes) {
            auto& sharers = m_byRun[run];
            sharers.erase(fingerprint);
            if (sharers.empty())
                m_byRun.erase(run);
        }
        m_entries.erase(fingerprint);
        m_changed.erase(fingerprint);
    }

    void addCrash(const EngineInstance& run, Fingerprint fingerprint, bool alone, MonotonicTime now)
    {
        auto& known = entry(fingerprint, now);
        if (alone)
            known.record.alone.insert(run);
        if (known.record.crashes.insert(run).second)
            known.crashKnownAt = now;
        known.record.expiresAt = std::max(known.record.expiresAt, now + m_options.lifetime);
        m_byRun[run].insert(fingerprint);
        m_changed.insert(fingerprint);
    }

    void merge(const StrikeRecord& record, MonotonicTime now)
    {
        if (now >= record.expiresAt)
            return;
        auto& known = entry(record.fingerprint, now);
        for (const auto& run : record.crashes) {
            if (known.record.crashes.insert(run).second)
                known.crashKnownAt = now;
            m_byRun[run].insert(record.fingerprint);
        }
        known.record.alone.insert(record.alone.begin(), record.alone.end());
        known.record.cleared.insert(record.cleared.begin(), record.cleared.end());
        known.record.expiresAt = std::max(known.record.expiresAt, record.expiresAt);
    }

    CrashStrikeOptions m_options;
    std::unordered_map<Fingerprint, Entry> m_entries;
    std::map<EngineInstance, std::unordered_set<Fingerprint>> m_byRun;
    std::unordered_set<Fingerprint> m_changed;
};

CrashStrikes::CrashStrikes(CrashStrikeOptions options)
    : m_impl(std::make_unique<Impl>(options))
{
}

CrashStrikes::~CrashStrikes() = default;
CrashStrikes::CrashStrikes(CrashStrikes&&) noexcept = default;
CrashStrikes& CrashStrikes::operator=(CrashStrikes&&) noexcept = default;

StrikeVerdict CrashStrikes::verdict(Fingerprint fingerprint, MonotonicTime now)
{
    const auto found = m_impl->m_entries.find(fingerprint);
    if (found == m_impl->m_entries.end())
        return StrikeVerdict::Normal;
    const auto verdict = m_impl->verdict(found->second, now);
    // Repetition by callers extends the refusal.
    if (verdict == StrikeVerdict::Refused)
        found->second.record.expiresAt = now + m_impl->m_options.lifetime;
    return verdict;
}

void CrashStrikes::onCrash(
    const EngineInstance& run, const std::vector<Fingerprint>& fingerprints, MonotonicTime now)
{
    for (const auto fingerprint : fingerprints)
        m_impl->addCrash(run, fingerprint, false, now);
}

void CrashStrikes::onCrashAlone(const EngineInstance& run, Fingerprint fingerprint, MonotonicTime now)
{
    m_impl->addCrash(run, fingerprint, true, now);
}

void CrashStrikes::onCompletedAlone(Fingerprint fingerprint, MonotonicTime)
{
    const auto found = m_impl->m_entries.find(fingerprint);
    if (found == m_impl->m_entries.end())
        return;
    auto& record = found->second.record;
    record.cleared = record.crashes;
    m_impl->m_changed.insert(fingerprint);
}

bool CrashStrikes::anySuspect(MonotonicTime now) const
{
    const auto& entries = m_impl->m_entries;
    return std::any_of(entries.begin(), entries.end(), [&](const auto& entry) {
        const auto verdict = m_impl->verdict(entry.second, now);
        return verdict == StrikeVerdict::Suspect || verdict == StrikeVerdict::Deciding;
    });
}

void CrashStrikes::merge(const StrikeRecord& record, MonotonicTime now) { m_impl->merge(record, now); }

std::vector<StrikeRecord> CrashStrikes::takeChanges()
{
    std::vector<StrikeRecord> changes;
    for (const auto fingerprint : m_impl->m_changed)
        changes.push_back(m_impl->m_entries[fingerprint].record);
    m_impl->m_changed.clear();
    return changes;
}

std::vector<StrikeRecord> CrashStrikes::records(MonotonicTime now) const
{
    std::vector<StrikeRecord> records;
    for (const auto& [fingerprint, entry] : m_impl->m_entries) {
        if (now < entry.record.expiresAt)
            records.push_back(entry.record);
    }
    return records;
}

} // namespace almondscale
