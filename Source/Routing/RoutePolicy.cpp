#include "Routing/RoutePolicy.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <memory>
#include <xxhash.h>

namespace almondscale {

namespace {

    std::uint64_t rendezvousWeight(const EngineId& engine, PrefixHash prefix)
    {
        return XXH64(engine.text().data(), engine.text().size(), prefix.count());
    }

    // Returns two different random indexes, or the same one twice if there is only one.
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

    bool isBetter(const RouteCandidate& a, const RouteCandidate& b)
    {
        if (a.completionAt != b.completionAt)
            return a.completionAt < b.completionAt;
        return a.wait < b.wait;
    }

    using Candidates = std::vector<RouteCandidate>;
    using Choice = std::optional<std::size_t>;

    std::vector<std::size_t> notFull(const Candidates& candidates)
    {
        std::vector<std::size_t> indexes;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!candidates[i].full)
                indexes.push_back(i);
        }
        return indexes;
    }

    Choice bestOf(const Candidates& candidates, const std::vector<std::size_t>& indexes)
    {
        if (indexes.empty())
            return std::nullopt;
        return *std::min_element(indexes.begin(), indexes.end(),
            [&](std::size_t a, std::size_t b) { return isBetter(candidates[a], candidates[b]); });
    }

    Choice bestOfTwoDrawn(const Candidates& candidates, const RandomSource& random)
    {
        const auto available = notFull(candidates);
        if (available.empty())
            return std::nullopt;
        const auto [first, second] = drawTwo(available.size(), random);
        return bestOf(candidates, { available[first], available[second] });
    }

    // The indexes of all candidates in the rendezvous order of the prefix.
    std::vector<std::size_t> rendezvousOrder(const Candidates& candidates, PrefixHash prefix)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> weights;
        for (std::size_t i = 0; i < candidates.size(); ++i)
            weights.emplace_back(rendezvousWeight(candidates[i].engine, prefix), i);
        std::sort(weights.rbegin(), weights.rend());
        std::vector<std::size_t> order;
        order.reserve(weights.size());
        for (const auto& weight : weights)
            order.push_back(weight.second);
        return order;
    }

} // namespace

RoutePolicy roundRobin()
{
    auto next = std::make_shared<std::size_t>(0);
    return [next](const Candidates& candidates, const RouteRequest&, const RandomSource&) {
        return Choice((*next)++ % candidates.size());
    };
}

RoutePolicy leastReportedLoad()
{
    return [](const Candidates& candidates, const RouteRequest&, const RandomSource&) {
        const auto least = std::min_element(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.reportedLoad < b.reportedLoad; });
        return Choice(static_cast<std::size_t>(least - candidates.begin()));
    };
}

RoutePolicy shortestExpectedWork()
{
    return [](const Candidates& candidates, const RouteRequest&, const RandomSource&) {
        return bestOf(candidates, notFull(candidates));
    };
}

RoutePolicy powerOfTwoChoices()
{
    return [](const Candidates& candidates, const RouteRequest&, const RandomSource& random) {
        return bestOfTwoDrawn(candidates, random);
    };
}

RoutePolicy boundedRendezvous(Nanoseconds slack)
{
    return [slack](const Candidates& candidates, const RouteRequest& request, const RandomSource&) {
        Nanoseconds total {};
        for (const auto& candidate : candidates)
            total += candidate.wait;
        const Nanoseconds bound = total / static_cast<std::int64_t>(candidates.size()) + slack;
        for (const auto index : rendezvousOrder(candidates, request.prefix)) {
            if (!candidates[index].full && candidates[index].wait <= bound)
                return Choice(index);
        }
        return Choice();
    };
}

RoutePolicy prefixOrTwoChoices()
{
    return [](const Candidates& candidates, const RouteRequest&, const RandomSource& random) {
        const auto drawn = bestOfTwoDrawn(candidates, random);
        if (!drawn)
            return drawn;
        std::vector<std::size_t> options { *drawn };
        for (const auto index : notFull(candidates)) {
            if (candidates[index].holdsPrefix)
                options.push_back(index);
        }
        return bestOf(candidates, options);
    };
}

RoutePolicy prefixAffinity()
{
    return [](const Candidates& candidates, const RouteRequest& request, const RandomSource&) {
        constexpr double minPreferred = 2;
        // The number of engines for a prefix, relative to its fraction of the requests.
        constexpr double preferredFactor = 2;
        const auto count = static_cast<double>(candidates.size());
        const double wanted
            = std::max(minPreferred, std::ceil(preferredFactor * request.prefixShare * count));
        const auto preferred = static_cast<std::size_t>(std::min(wanted, count));
        const auto order = rendezvousOrder(candidates, request.prefix);
        std::vector<std::size_t> available;
        std::copy_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(preferred),
            std::back_inserter(available), [&](std::size_t index) { return !candidates[index].full; });
        return bestOf(candidates, available);
    };
}

} // namespace almondscale
