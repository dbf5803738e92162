#include "Serving/BadParts.h"

#include <algorithm>
#include <map>
#include <optional>

namespace almondscale {

namespace {

    // The terminations of one part that are not explained yet.
    struct Candidate {
        PromptPartId part;
        // The contents of the requests that ran on each server.
        std::map<BackendLifetime, std::vector<Fingerprint>> servers;
        std::set<int> steps;
        std::set<Fingerprint> contents;
        std::size_t requests = 0;
        MonotonicTime lastEndAt {};
        bool knownSound = false;
    };

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
            candidate.requests += std::max<std::size_t>(1, end.contents.size());
            candidate.lastEndAt = std::max(candidate.lastEndAt, end.endedAt);
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
    double score(const Candidate& candidate)
    {
        const auto servers = static_cast<double>(candidate.servers.size());
        const double requestsPerServer = static_cast<double>(candidate.requests) / servers;
        return servers / (requestsPerServer * requestsPerServer);
    }

    bool shareServer(const Candidate& a, const Candidate& b)
    {
        return std::any_of(a.servers.begin(), a.servers.end(),
            [&](const auto& server) { return b.servers.count(server.first) > 0; });
    }

    // The parts that the same requests had as the given one. Nothing if a part of other requests explains the
    // terminations as well: the next one will tell.
    std::vector<Candidate> findGroup(const Candidate& best, const std::vector<Candidate>& candidates)
    {
        std::vector<Candidate> group;
        for (const auto& candidate : candidates) {
            if (score(candidate) < score(best) || !shareServer(candidate, best))
                continue;
            if (candidate.servers != best.servers)
                return {};
            group.push_back(candidate);
        }
        return group;
    }

    std::vector<Candidate> findBest(const std::vector<Candidate>& candidates)
    {
        for (const auto& candidate : candidates) {
            auto group = findGroup(candidate, candidates);
            if (!group.empty())
                return group;
        }
        return {};
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
        const auto group = findBest(candidates);
        if (group.empty())
            return found;
        BadParts bad;
        for (const auto& candidate : group)
            bad.parts.push_back(candidate.part);
        for (const auto& server : group.front().servers)
            bad.servers.insert(server.first);
        bad.lastEndAt = group.front().lastEndAt;
        explained.insert(bad.servers.begin(), bad.servers.end());
        found.push_back(std::move(bad));
    }
}

} // namespace almondscale
