#include "Serving/Placement.h"

#include "Core/Milliseconds.h"
#include "Core/RandomSource.h"
#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <list>
#include <queue>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr int engines = 7;
constexpr int hosts = 8;
constexpr Nanoseconds target = 650ms;

// An engine that prefills prompts sequentially and caches the most recently used prefixes.
class SimulatedEngine {
public:
    // Returns when the prefill completes. The prefix is recomputed if it is not cached.
    MonotonicTime prefill(const PromptShape& prompt, MonotonicTime now)
    {
        const bool cached = touch(prompt.prefixHash, prompt.prefixTokens);
        // The rest of the prompt takes memory too, until it is evicted as least recently used.
        touch(++m_ownKey, prompt.uniqueTokens());
        recomputations += cached ? 0 : 1;
        m_freeAt = std::max(m_freeAt, now)
            + fromMs(m_speed.prefillMs(prompt.tokens, cached ? prompt.prefixTokens : TokenCount(0)));
        return m_freeAt;
    }

    int recomputations = 0;

private:
    bool touch(std::uint64_t key, TokenCount tokens)
    {
        for (auto prefix = m_prefixes.begin(); prefix != m_prefixes.end(); ++prefix) {
            if (prefix->first != key)
                continue;
            m_prefixes.splice(m_prefixes.begin(), m_prefixes, prefix);
            return true;
        }
        m_prefixes.emplace_front(key, tokens);
        m_used += tokens;
        while (m_used > TokenCount(430000)) {
            m_used -= m_prefixes.back().second;
            m_prefixes.pop_back();
        }
        return false;
    }

    EngineSpeedModel m_speed;
    std::list<std::pair<std::uint64_t, TokenCount>> m_prefixes;
    TokenCount m_used;
    std::uint64_t m_ownKey = 1'000'000;
    MonotonicTime m_freeAt {};
};

struct Outcome {
    double inTime = 0;
    int recomputations = 0;
};

// Simulates long prompts whose prefixes (42 of about 13,000 tokens) do not fit into one engine. The load of
// other hosts, and the prefixes they sent, become known 200 ms late.
Outcome simulate(
    const PlacementOptions& options, double perSecond, std::uint64_t seed, Nanoseconds length = 60s)
{
    BackendTable table;
    std::vector<BackendId> ids;
    for (int i = 0; i < engines; ++i) {
        table.put(engineRecord(
            "p" + std::to_string(i), EngineRole::Prefill, "a", static_cast<std::uint16_t>(i + 1)));
        ids.emplace_back("p" + std::to_string(i));
    }
    const Placement placement(table, DataCentre("a"), options);
    std::map<BackendId, SimulatedEngine> simulated;
    using Ending = std::pair<MonotonicTime, std::function<void()>>;
    const auto later = [](const Ending& a, const Ending& b) { return a.first > b.first; };
    std::priority_queue<Ending, std::vector<Ending>, decltype(later)> endings(later);
    const auto random = seededRandom(seed);
    int requested = 0;
    int inTime = 0;
    auto now = testStart;
    while (now < testStart + length) {
        now += fromMs(-std::log(1 - uniform(random)) * 1000 / perSecond);
        while (!endings.empty() && endings.top().first <= now) {
            endings.top().second();
            endings.pop();
        }
        PromptShape prompt;
        prompt.prefixHash = 1 + uniformBelow(random, 42);
        prompt.prefixTokens = TokenCount(8000 + static_cast<std::int64_t>(prompt.prefixHash) * 250);
        prompt.tokens = prompt.prefixTokens
            + TokenCount(static_cast<std::int64_t>(2000 - 2500 * std::log(1 - uniform(random))));
        const auto choice = placement.choosePrefill(model, prompt, {}, Deadline(now + target), now);
        const auto done = simulated[choice->backend].prefill(prompt, now);
        ++requested;
        inTime += done <= now + target ? 1 : 0;
        const BackendLoad load { choice->workMs, 0, 0 };
        const auto id = choice->backend;
        // One request in eight comes from this host; the others become known later.
        const bool own = uniformBelow(random, hosts) == 0;
        const auto begin = own ? now : now + 200ms;
        endings.emplace(
            begin, [&table, id, key = prompt.prefixHash, begin] { table.noteSentPrefix(id, key, begin); });
        if (done <= begin)
            continue;
        endings.emplace(begin, [&table, id, load] { table.open(id, load); });
        endings.emplace(own ? done : done + 200ms, [&table, id, load] { table.close(id, load); });
    }
    Outcome outcome;
    outcome.inTime = static_cast<double>(inTime) / requested;
    for (const auto& engine : simulated)
        outcome.recomputations += engine.second.recomputations;
    return outcome;
}

PlacementOptions newSystemOptions()
{
    PlacementOptions options;
    options.warmBeforeMs.reset();
    return options;
}

PlacementOptions queueOnlyOptions()
{
    PlacementOptions options;
    // Every engine counts as a home, so that only the queue decides.
    options.prefixCopies = engines;
    options.rankPenaltyMs = 0;
    return options;
}

} // namespace

TEST_CASE("Long prompts at an ordinary load, placed by their prefixes, are in time more often than by queue")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        const auto homes = simulate(PlacementOptions(), 22, seed);
        const auto queue = simulate(queueOnlyOptions(), 22, seed);
        INFO("seed " << seed << " homes " << homes.inTime << " recomputations " << homes.recomputations
                     << " queue " << queue.inTime << " recomputations " << queue.recomputations);
        CHECK(homes.inTime > queue.inTime);
        CHECK(homes.inTime > 0.9);
        CHECK(homes.recomputations * 2 < queue.recomputations);
    }
}

TEST_CASE(
    "Long prompts at new engines, placed by where prefixes were sent, are in time more often than by homes")
{
    for (const double perSecond : { 10., 14., 18. }) {
        double announced = 0;
        double assumed = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            announced += simulate(newSystemOptions(), perSecond, seed, 4s).inTime / 20;
            assumed += simulate(PlacementOptions(), perSecond, seed, 4s).inTime / 20;
        }
        INFO("requests a second " << perSecond << " announced " << announced << " assumed " << assumed);
        CHECK(announced > assumed);
    }
}
