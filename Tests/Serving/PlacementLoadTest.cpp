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

// An engine that prefills one prompt after the other and keeps the parts used last.
class SimulatedEngine {
public:
    // When the prompt is done; reads the shared part if it is not kept.
    MonotonicTime prefill(const PromptShape& prompt, MonotonicTime now)
    {
        const bool kept = touch(prompt.prefixHash, prompt.prefixTokens);
        // The prompt's own part takes memory too, until it is the one used longest ago.
        touch(++m_ownKey, prompt.uniqueTokens());
        rereads += kept ? 0 : 1;
        m_freeAt = std::max(m_freeAt, now)
            + fromMs(m_speed.prefillMs(prompt.tokens, kept ? prompt.prefixTokens : TokenCount(0)));
        return m_freeAt;
    }

    int rereads = 0;

private:
    bool touch(std::uint64_t key, TokenCount tokens)
    {
        for (auto part = m_parts.begin(); part != m_parts.end(); ++part) {
            if (part->first != key)
                continue;
            m_parts.splice(m_parts.begin(), m_parts, part);
            return true;
        }
        m_parts.emplace_front(key, tokens);
        m_used += tokens;
        while (m_used > TokenCount(430000)) {
            m_used -= m_parts.back().second;
            m_parts.pop_back();
        }
        return false;
    }

    EngineSpeedModel m_speed;
    std::list<std::pair<std::uint64_t, TokenCount>> m_parts;
    TokenCount m_used;
    std::uint64_t m_ownKey = 1'000'000;
    MonotonicTime m_freeAt {};
};

struct Outcome {
    double inTime = 0;
    int rereads = 0;
};

// Plays long prompts whose shared parts (42 of about 13,000 tokens) do not fit into one
// engine, with the work of other hosts, and where they sent parts, known 200 ms late.
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
        // One request in eight is this host's own; the others are heard of later.
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
        outcome.rereads += engine.second.rereads;
    return outcome;
}

PlacementOptions whenNew()
{
    PlacementOptions options;
    options.warmBeforeMs.reset();
    return options;
}

PlacementOptions withoutHomes()
{
    PlacementOptions options;
    // Every engine counts as a home: only the queue decides.
    options.prefixCopies = engines;
    options.rankPenaltyMs = 0;
    return options;
}

} // namespace

TEST_CASE(
    "Long prompts at an ordinary load, placed by their shared parts, are in time more often than by queue")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        const auto homes = simulate(PlacementOptions(), 22, seed);
        const auto queue = simulate(withoutHomes(), 22, seed);
        INFO("seed " << seed << " homes " << homes.inTime << " rereads " << homes.rereads << " queue "
                     << queue.inTime << " rereads " << queue.rereads);
        CHECK(homes.inTime > queue.inTime);
        CHECK(homes.inTime > 0.9);
        CHECK(homes.rereads * 2 < queue.rereads);
    }
}

TEST_CASE("Long prompts at engines that are new, placed by where parts were sent, are in time more often "
          "than by homes")
{
    for (const double perSecond : { 10., 14., 18. }) {
        double told = 0;
        double believed = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            told += simulate(whenNew(), perSecond, seed, 4s).inTime / 20;
            believed += simulate(PlacementOptions(), perSecond, seed, 4s).inTime / 20;
        }
        INFO("requests a second " << perSecond << " told " << told << " believed " << believed);
        CHECK(told > believed);
    }
}
