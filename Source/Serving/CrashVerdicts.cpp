#include "Serving/CrashRecords.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

// The part of CrashRecords that judges its records.
namespace almondscale {

Verdict CrashRecords::verdict(const RequestSubjects& subjects, MonotonicTime now) const
{
    std::optional<Verdict> onTrial;
    std::unordered_set<PromptPartId> shared;
    if (!badParts().empty())
        shared.insert(subjects.sharedParts.begin(), subjects.sharedParts.end());
    for (const auto& bad : badParts()) {
        const bool hasAll = std::all_of(
            bad.parts.begin(), bad.parts.end(), [&](auto part) { return shared.count(part) > 0; });
        if (!hasAll)
            continue;
        const Verdict verdict { suspicion(bad.parts.front(), now), bad.parts.front() };
        if (verdict.suspicion == Suspicion::Refuse)
            return verdict;
        onTrial = verdict;
    }
    const Verdict verdict { suspicion(subjects.content, now), subjects.content };
    return onTrial && verdict.suspicion != Suspicion::Refuse ? *onTrial : verdict;
}

Suspicion CrashRecords::suspicion(const CrashSubject& subject, MonotonicTime now) const
{
    const bool refusalPassed = refusedUntil(subject).passed(now);
    if (subject.isPart) {
        if (!findBad(subject))
            return Suspicion::None;
        return refusalPassed ? Suspicion::Isolate : Suspicion::Refuse;
    }
    // Concurrent terminations make the content a suspect too.
    const auto ends = countedEnds(subject);
    if (static_cast<int>(ends.size()) < m_options.suspectAfter)
        return Suspicion::None;
    return isBadContent(ends) && !refusalPassed ? Suspicion::Refuse : Suspicion::Isolate;
}

bool CrashRecords::isBadContent(const std::vector<ServerEnd>& counted) const
{
    const bool isolated = std::any_of(counted.begin(), counted.end(),
        [](const auto& end) { return end.apart && end.evidence != EndEvidence::Unsure; });
    return isolated ? countSteps(counted, EndEvidence::Unsure) >= m_options.refuseAfter
                    : countSteps(counted, EndEvidence::Certain) >= m_options.refuseUnisolatedAfter;
}

bool CrashRecords::isSuspect(const CrashSubject& subject, MonotonicTime now, int partEnds) const
{
    if (suspicion(subject, now) != Suspicion::None)
        return true;
    const auto* record = find(subject);
    return subject.isPart && record && !isKnownSound(*record)
        && countSteps(validEnds(*record), EndEvidence::Certain) >= partEnds;
}

Deadline CrashRecords::refusedUntil(const CrashSubject& subject) const
{
    const auto* record = find(subject);
    return Deadline::after(record ? lastEnd(record->ends) : MonotonicTime(), m_options.refusalTime);
}

int CrashRecords::consecutiveEnds(const CrashSubject& subject) const
{
    const auto* record = find(subject);
    return record ? countSteps(validEnds(*record), EndEvidence::Unsure) : 0;
}

const std::vector<BadParts>& CrashRecords::badParts() const
{
    if (m_judgedVersion == m_version)
        return m_badParts;
    m_judgedVersion = m_version;
    std::vector<PartEvidence> evidence;
    for (const auto& subject : m_candidates) {
        const auto& record = *find(subject);
        if (subject.isPart)
            evidence.push_back({ PromptPartId(subject.id.count()), validEnds(record), isKnownSound(record) });
    }
    m_badParts = findBadParts(evidence, m_options.badParts);
    m_explained.clear();
    for (const auto& bad : m_badParts)
        m_explained.insert(bad.servers.begin(), bad.servers.end());
    return m_badParts;
}

const std::set<BackendLifetime>& CrashRecords::explainedServers() const
{
    badParts();
    return m_explained;
}

const BadParts* CrashRecords::findBad(const CrashSubject& part) const
{
    for (const auto& bad : badParts()) {
        if (std::find(bad.parts.begin(), bad.parts.end(), PromptPartId(part.id.count())) != bad.parts.end())
            return &bad;
    }
    return nullptr;
}

bool CrashRecords::isValid(const CrashRecord& record, const ServerEnd& end) const
{
    if (end.withdrawn || (record.answeredAt && end.endedAt <= *record.answeredAt))
        return false;
    if (record.subject.isPart && end.evidence == EndEvidence::Unsure)
        return false;
    const auto first = m_firstEndedAt.find(end.server);
    return first == m_firstEndedAt.end() || end.sentAt <= first->second + m_options.propagationDelay;
}

std::vector<ServerEnd> CrashRecords::validEnds(const CrashRecord& record) const
{
    std::vector<ServerEnd> ends;
    std::copy_if(record.ends.begin(), record.ends.end(), std::back_inserter(ends),
        [&](const auto& end) { return isValid(record, end); });
    return ends;
}

std::vector<ServerEnd> CrashRecords::countedEnds(const CrashSubject& subject) const
{
    const auto* record = find(subject);
    if (!record)
        return {};
    auto ends = validEnds(*record);
    if (subject.isPart)
        return ends;
    const auto& explained = explainedServers();
    ends.erase(std::remove_if(ends.begin(), ends.end(),
                   [&](const auto& end) { return explained.count(end.server) > 0; }),
        ends.end());
    return ends;
}

bool CrashRecords::isKnownSound(const CrashRecord& record) const
{
    if (!record.answeredAt)
        return false;
    const auto ends = validEnds(record);
    const auto first = std::min_element(
        ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.endedAt < b.endedAt; });
    return first != ends.end() && first->endedAt - *record.answeredAt < m_options.soundTime;
}

int CrashRecords::countSteps(const std::vector<ServerEnd>& ends, EndEvidence minEvidence)
{
    // Runs with the same step may have been concurrent.
    std::set<int> steps;
    for (const auto& end : ends) {
        if (end.evidence >= minEvidence)
            steps.insert(end.step);
    }
    return static_cast<int>(steps.size());
}

} // namespace almondscale
