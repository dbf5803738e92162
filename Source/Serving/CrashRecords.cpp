#include "Serving/CrashRecords.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondscale {

namespace {

    // The union, sorted and limited in size.
    std::vector<Fingerprint> joinContents(
        const std::vector<Fingerprint>& a, const std::vector<Fingerprint>& b, std::size_t maxSize)
    {
        std::vector<Fingerprint> joined;
        std::set_union(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(joined));
        joined.resize(std::min(joined.size(), maxSize));
        return joined;
    }

} // namespace

CrashRecords::CrashRecords(CrashRecordOptions options)
    : m_options(options)
{
}

const CrashRecord* CrashRecords::find(const CrashSubject& subject) const
{
    const auto found = m_entries.find(subject);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<CrashSubject> CrashRecords::subjects() const
{
    std::vector<CrashSubject> subjects;
    subjects.reserve(m_entries.size());
    for (const auto& entry : m_entries)
        subjects.push_back(entry.first);
    return subjects;
}

bool CrashRecords::adoptAnswer(CrashRecord& record, std::optional<MonotonicTime> answeredAt) const
{
    if (!answeredAt)
        return false;
    // Times from other hosts are late by the time in transit, so a time that is merely later does not count:
    // hosts would return it to each other for ever.
    const bool isNewer = !record.answeredAt || *answeredAt > *record.answeredAt + m_options.soundTime / 2;
    const bool clears = std::any_of(record.ends.begin(), record.ends.end(),
        [&](const auto& end) { return isValid(record, end) && end.endedAt <= *answeredAt; });
    if (!isNewer && !clears)
        return false;
    record.answeredAt = answeredAt;
    return true;
}

std::optional<MonotonicTime> CrashRecords::lastAnsweredHere(const CrashSubject& subject) const
{
    return subject.isPart ? m_answered.lastAnswered(PromptPartId(subject.id.count())) : std::nullopt;
}

std::vector<int> CrashRecords::nextSteps(const RequestSubjects& subjects) const
{
    std::vector<int> steps { nextStep(subjects.content) };
    steps.reserve(1 + subjects.sharedParts.size());
    for (const auto part : subjects.sharedParts)
        steps.push_back(nextStep(part));
    return steps;
}

int CrashRecords::nextStep(const CrashSubject& subject) const
{
    int next = 0;
    if (const auto* record = find(subject)) {
        for (const auto& end : record->ends)
            next = std::max(next, end.step + 1);
    }
    return next;
}

void CrashRecords::noteEnd(
    const RequestSubjects& subjects, const ServerEnd& end, const std::vector<int>& steps)
{
    auto each = end;
    each.step = steps.at(0);
    noteEnd(subjects.content, each);
    each.contents = { subjects.content };
    const auto& parts = subjects.sharedParts;
    std::vector<bool> known(parts.size());
    std::transform(parts.begin(), parts.end(), known.begin(),
        [this](const auto part) { return m_entries.count(part) > 0; });
    // Parts with earlier terminations come first, so that other hosts learn of them first and no record of a
    // new part displaces theirs.
    for (const bool withRecord : { true, false }) {
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (known[i] != withRecord)
                continue;
            each.step = steps.at(i + 1);
            noteEnd(parts[i], each);
        }
    }
}

void CrashRecords::noteEnd(const CrashSubject& subject, const ServerEnd& end)
{
    const auto known = m_firstEndedAt.find(end.server);
    if (known != m_firstEndedAt.end() && known->second < end.sentAt)
        return;
    auto& found = entry(subject);
    const bool added = add(found, end);
    if (adoptAnswer(found.record, lastAnsweredHere(subject)) || added)
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

void CrashRecords::noteCompleted(const RequestSubjects& subjects, MonotonicTime now, bool prefill)
{
    noteCompleted(subjects.content, prefill);
    if (!prefill) {
        noteAnswered(subjects, now);
        return;
    }
    for (const auto part : subjects.sharedParts)
        noteCompleted(part, true);
}

void CrashRecords::noteCompleted(const CrashSubject& subject, bool prefill)
{
    const auto found = m_entries.find(subject);
    if (found != m_entries.end())
        withdraw(found->second, [&](const auto& end) { return end.prefill == prefill; });
}

void CrashRecords::noteAnswered(const RequestSubjects& subjects, MonotonicTime now)
{
    auto parts = subjects.sharedParts;
    if (subjects.ownPart)
        parts.push_back(*subjects.ownPart);
    for (const auto part : parts) {
        m_answered.note(part, now);
        const auto found = m_entries.find(part);
        if (found != m_entries.end() && adoptAnswer(found->second.record, now))
            recordChange(found->second);
    }
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
    auto& found = entry(record.subject);
    bool changed = false;
    for (const auto& end : record.ends)
        changed = add(found, end) || changed;
    changed = adoptAnswer(found.record, record.answeredAt) || changed;
    changed = adoptAnswer(found.record, lastAnsweredHere(record.subject)) || changed;
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
        auto contents = joinContents(known->contents, end.contents, m_options.maxContentsPerEnd);
        const bool changed = known->evidence < end.evidence || (end.apart && !known->apart)
            || (end.withdrawn && !known->withdrawn) || known->step < end.step || known->contents != contents;
        known->contents = std::move(contents);
        known->step = std::max(known->step, end.step);
        known->evidence = std::max(known->evidence, end.evidence);
        known->apart = known->apart || end.apart;
        known->withdrawn = known->withdrawn || end.withdrawn;
        return changed;
    }
    ends.push_back(end);
    ++m_endCount;
    if (ends.size() <= m_options.maxEndsPerRecord)
        return true;
    // Evict withdrawn terminations first, then the oldest.
    const auto evicted = std::min_element(ends.begin(), ends.end(), [](const auto& a, const auto& b) {
        return std::pair(!a.withdrawn, a.endedAt) < std::pair(!b.withdrawn, b.endedAt);
    });
    const bool added = evicted->server != end.server;
    ends.erase(evicted);
    --m_endCount;
    return added;
}

CrashRecords::Entry& CrashRecords::entry(const CrashSubject& subject)
{
    while (m_endCount >= m_options.maxEnds)
        evictOne();
    const auto found = m_entries.find(subject);
    if (found != m_entries.end())
        return found->second;
    if (m_entries.size() >= m_options.maxRecords)
        evictOne();
    auto& added = m_entries[subject];
    added.record.subject = subject;
    return added;
}

void CrashRecords::recordChange(Entry& entry)
{
    m_byChange.erase(entry.changed);
    m_byWeight.erase(weightOf(entry));
    entry.changed = ++m_version;
    entry.consecutive = countSteps(validEnds(entry.record), EndEvidence::Unsure);
    m_byChange[entry.changed] = entry.record.subject;
    m_byWeight.insert(weightOf(entry));
    if (entry.consecutive >= m_options.badParts.ends)
        m_candidates.insert(entry.record.subject);
    else
        m_candidates.erase(entry.record.subject);
}

// Evicts the least significant record.
void CrashRecords::evictOne()
{
    const CrashSubject evicted = m_byChange.at(m_byWeight.begin()->second);
    erase(evicted);
}

std::pair<int, std::uint64_t> CrashRecords::weightOf(const Entry& entry)
{
    return { entry.consecutive, entry.changed };
}

void CrashRecords::erase(const CrashSubject& subject)
{
    const auto found = m_entries.find(subject);
    m_byChange.erase(found->second.changed);
    m_byWeight.erase(weightOf(found->second));
    m_endCount -= found->second.record.ends.size();
    // The candidates changed.
    if (m_candidates.erase(subject) > 0)
        ++m_version;
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
    std::vector<CrashSubject> old;
    for (const auto& [subject, entry] : m_entries) {
        if (Deadline::after(lastEnd(entry.record.ends), m_options.lifetime).passed(now))
            old.push_back(subject);
    }
    for (const auto& subject : old)
        erase(subject);
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
