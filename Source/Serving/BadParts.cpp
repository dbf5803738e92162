#include "Serving/BadParts.h"

#include <algorithm>
#include <map>

namespace almondscale {

namespace {

    // The contents of the requests that ran on each server.
    using RunsByServer = std::map<BackendLifetime, std::vector<Fingerprint>>;

    // The terminations of one part that are not explained yet.
    struct Candidate {
        PromptPartId part;
        RunsByServer servers;
        std::set<int> steps;
        std::set<Fingerprint> contents;
        bool knownSound = false;
    };

    // Parts that the same requests had, which the terminations cannot tell apart.
    struct Group {
        std::vector<PromptPartId> parts;
        RunsByServer servers;
        double score = 0;
    };

    // Of more groups, only those with the highest scores are judged, which bounds the time.
    constexpr std::size_t maxJudgedGroups = 64;

    Candidate makeCandidate(const PartEvidence& evidence, const std::set<BackendLifetime>& explained)
    {
        Candidate candidate;
        candidate.part = evidence.part;
        candidate.knownSound = evidence.knownSound;
        for (const auto& end : evidence.ends) {
            if (explained.count(end.server) > 0)
                continue;
            candidate.servers[end.server] = end.contents;
            candidate.steps.insert(end.step);
            candidate.contents.insert(end.contents.begin(), end.contents.end());
        }
        return candidate;
    }

    bool isBad(const Candidate& candidate, const BadPartLimits& limits)
    {
        const int ends = static_cast<int>(candidate.steps.size());
        if (candidate.knownSound)
            return ends >= limits.endsOfSoundPart && candidate.contents.size() >= limits.contents;
        return (ends >= limits.ends && candidate.contents.size() >= limits.contents)
            || (ends >= limits.endsOfFewContents && candidate.contents.size() >= limits.fewContents);
    }

    // Terminations explained, less the more requests with the part ran on each of the servers: what many
    // requests share is on most servers that terminate.
    double scoreOf(const RunsByServer& runs)
    {
        std::size_t requests = 0;
        for (const auto& server : runs)
            requests += std::max<std::size_t>(1, server.second.size());
        const auto servers = static_cast<double>(runs.size());
        const double requestsPerServer = static_cast<double>(requests) / servers;
        return servers / (requestsPerServer * requestsPerServer);
    }

    bool shareServer(const Group& a, const Group& b)
    {
        return std::any_of(a.servers.begin(), a.servers.end(),
            [&](const auto& server) { return b.servers.count(server.first) > 0; });
    }

    // The groups of the bad candidates that are judged, the highest score first.
    std::vector<Group> groupsOf(const std::vector<Candidate>& candidates)
    {
        std::map<RunsByServer, std::vector<PromptPartId>> partsByRuns;
        for (const auto& candidate : candidates)
            partsByRuns[candidate.servers].push_back(candidate.part);
        std::vector<Group> groups;
        groups.reserve(partsByRuns.size());
        for (auto& [runs, parts] : partsByRuns)
            groups.push_back({ std::move(parts), runs, scoreOf(runs) });
        std::stable_sort(
            groups.begin(), groups.end(), [](const auto& a, const auto& b) { return a.score > b.score; });
        if (groups.size() <= maxJudgedGroups)
            return groups;
        // A group with the score of one that is left out cannot be told from it.
        const auto leftOut = groups[maxJudgedGroups].score;
        groups.erase(std::find_if(groups.begin(), groups.end(),
                         [leftOut](const auto& group) { return group.score <= leftOut; }),
            groups.end());
        return groups;
    }

    // Whether no other group explains terminations of this one as well: otherwise the next one will tell.
    bool isDistinct(const Group& group, const std::vector<Group>& groups)
    {
        return std::none_of(groups.begin(), groups.end(), [&](const auto& other) {
            return &other != &group && other.score >= group.score && shareServer(other, group);
        });
    }

} // namespace

std::vector<BadParts> findBadParts(const std::vector<PartEvidence>& evidence, const BadPartLimits& limits)
{
    std::vector<BadParts> found;
    std::set<BackendLifetime> explained;
    for (;;) {
        std::vector<Candidate> candidates;
        candidates.reserve(evidence.size());
        for (const auto& each : evidence) {
            auto candidate = makeCandidate(each, explained);
            if (isBad(candidate, limits))
                candidates.push_back(std::move(candidate));
        }
        const auto groups = groupsOf(candidates);
        const auto best = std::find_if(
            groups.begin(), groups.end(), [&](const auto& group) { return isDistinct(group, groups); });
        if (best == groups.end())
            return found;
        BadParts bad;
        bad.parts = best->parts;
        for (const auto& server : best->servers)
            bad.servers.insert(server.first);
        explained.insert(bad.servers.begin(), bad.servers.end());
        found.push_back(std::move(bad));
    }
}

} // namespace almondscale
