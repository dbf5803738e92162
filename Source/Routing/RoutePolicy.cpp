#include "Routing/RoutePolicy.h"

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace almondscale {

namespace {

    std::uint64_t rendezvousWeight(const EngineId& engine, PrefixHash prefix)
    {
        return XXH64(engine.text().data(), engine.text().size(), prefix.count());
    }

    // Two different indexes, or the only one twice.
    std::pair<std::size_t, std::size_t> drawTwo(std::size_t count, const RandomSource& random)
    {
        const std::size_t first = uniformBelow(random, count);
        if (count == 1)
            return { first, first };
        std::size_t second = uniformBelow(random, count - 1);
        if (second >= first)
            ++second;
        return { first, second };
    }

    bool better(const RouteCandidate& a, const RouteCandidate& b)
    {
        if (a.completionAt != b.completionAt)
            return a.completionAt < b.completionAt;
        return a.wait < b.wait;
    }

    std::size_t betterOfTwo(const std::vector<RouteCandidate>& candidates, const RandomSource& random)
    {
        const auto [first, second] = drawTwo(candidates.size(), random);
        return better(candidates[second], candidates[first]) ? second : first;
    }

} // namespace

RoutePolicy roundRobin()
{
    auto turn = std::make_shared<std::size_t>(0);
    return [turn](const std::vector<RouteCandidate>& candidates, const RouteRequest&, const RandomSource&) {
        return (*turn)++ % candidates.size();
    };
}

RoutePolicy leastReportedLoad()
{
    return [](const std::vector<RouteCandidate>& candidates, const RouteRequest&, const RandomSource&) {
        const auto least = std::min_element(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.reportedLoad < b.reportedLoad; });
        return static_cast<std::size_t>(least - candidates.begin());
    };
}

RoutePolicy shortestExpectedWork()
{
    return [](const std::vector<RouteCandidate>& candidates, const RouteRequest&, const RandomSource&) {
        const auto best = std::min_element(candidates.begin(), candidates.end(), better);
        return static_cast<std::size_t>(best - candidates.begin());
    };
}

RoutePolicy powerOfTwoChoices()
{
    return [](const std::vector<RouteCandidate>& candidates, const RouteRequest&,
               const RandomSource& random) { return betterOfTwo(candidates, random); };
}

RoutePolicy boundedRendezvous(Nanoseconds slack)
{
    return [slack](const std::vector<RouteCandidate>& candidates, const RouteRequest& request,
               const RandomSource&) {
        Nanoseconds total {};
        for (const auto& candidate : candidates)
            total += candidate.wait;
        const Nanoseconds bound = total / static_cast<std::int64_t>(candidates.size()) + slack;
        std::size_t best = candidates.size();
        std::uint64_t bestWeight = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto weight = rendezvousWeight(candidates[i].engine, request.prefix);
            if (candidates[i].wait > bound || (best < candidates.size() && weight <= bestWeight))
                continue;
            best = i;
            bestWeight = weight;
        }
        // At least the engine with the shortest wait is within the bound.
        return best;
    };
}

RoutePolicy prefixOrTwoChoices()
{
    return
        [](const std::vector<RouteCandidate>& candidates, const RouteRequest&, const RandomSource& random) {
            std::size_t best = betterOfTwo(candidates, random);
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                if (candidates[i].holdsPrefix && better(candidates[i], candidates[best]))
                    best = i;
            }
            return best;
        };
}

} // namespace almondscale
