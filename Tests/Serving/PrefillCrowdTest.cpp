#include "Serving/Placement.h"

#include "Core/RandomSource.h"
#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <list>
#include <map>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr int engines = 4;
constexpr Nanoseconds target = 650ms;
constexpr Nanoseconds patience = 5s;

struct Job {
    MonotonicTime arrivedAt {};
    PlacementChoice choice;
    double leftMs = 0;
};

// An engine that prefills in the order of arrival, deferred prompts only when no other waits.
class CrowdedEngine {
public:
    void add(Job job) { (job.choice.deferred ? m_deferred : m_urgent).push_back(std::move(job)); }

    // Works until the time; tells each job that ended, and when.
    template <typename Ended> void workUntil(MonotonicTime end, const Ended& ended)
    {
        while (m_now < end && !(m_urgent.empty() && m_deferred.empty())) {
            auto& jobs = m_urgent.empty() ? m_deferred : m_urgent;
            const double step = std::min(
                jobs.front().leftMs, std::chrono::duration<double, std::milli>(end - m_now).count());
            m_now += Nanoseconds(static_cast<std::int64_t>(step * 1e6) + 1);
            jobs.front().leftMs -= step;
            if (jobs.front().leftMs > 0)
                continue;
            ended(jobs.front(), m_now);
            jobs.pop_front();
        }
        m_now = std::max(m_now, end);
    }

private:
    MonotonicTime m_now = testStart;
    std::list<Job> m_urgent;
    std::list<Job> m_deferred;
};

struct Outcome {
    int asked = 0;
    int inTime = 0;
    int served = 0;
    int refused = 0;
};

// Plays half a minute of prompts of 4,000 new tokens on average for four engines.
Outcome play(double deferFactor, double perSecond, std::uint64_t seed)
{
    BackendTable table;
    std::map<BackendId, CrowdedEngine> played;
    for (int i = 0; i < engines; ++i) {
        const auto record = engineRecord(
            "p" + std::to_string(i), EngineRole::Prefill, "a", static_cast<std::uint16_t>(i + 1));
        table.put(record);
        played[record.id];
    }
    PlacementOptions options;
    options.deferFactor = deferFactor;
    const Placement placement(table, DataCentre("a"), options);
    const auto random = seededRandom(seed);
    const auto loadOf = [](const PlacementChoice& choice) {
        return BackendLoad { choice.deferred ? 0 : choice.workMs, 0, 0, choice.deferred ? choice.workMs : 0 };
    };
    Outcome outcome;
    const auto ended = [&](const Job& job, MonotonicTime at) {
        outcome.inTime += at <= job.arrivedAt + target ? 1 : 0;
        outcome.served += at <= job.arrivedAt + patience ? 1 : 0;
        table.close(job.choice.backend, loadOf(job.choice));
    };
    for (auto now = testStart; now < testStart + 30s;) {
        now += Nanoseconds(static_cast<std::int64_t>(-std::log(1 - uniform(random)) * 1e9 / perSecond));
        for (auto& engine : played)
            engine.second.workUntil(now, ended);
        PromptShape prompt;
        prompt.prompt = TokenCount(static_cast<std::int64_t>(500 - 3500 * std::log(1 - uniform(random))));
        const auto choice = placement.choosePrefill(model, prompt, {}, Deadline(now + target), now);
        ++outcome.asked;
        if (choice->expectedMs > std::chrono::duration<double, std::milli>(patience).count()) {
            ++outcome.refused;
            continue;
        }
        table.open(choice->backend, loadOf(*choice));
        played[choice->backend].add({ now, *choice, choice->workMs });
    }
    for (auto& engine : played)
        engine.second.workUntil(testStart + 60s, ended);
    return outcome;
}

constexpr double never = 1e9;

} // namespace

TEST_CASE("Crowd that is too much for all engines, with late prefills deferred, is mostly in time where it "
          "is served")
{
    for (const double perSecond : { 40., 60. }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const auto deferring = play(PlacementOptions().deferFactor, perSecond, seed);
            const auto inOrder = play(never, perSecond, seed);
            INFO(perSecond << " a second, seed " << seed << ", in time " << deferring.inTime << " of "
                           << deferring.asked << ", served " << deferring.served << ", refused "
                           << deferring.refused << "; in order " << inOrder.inTime << ", " << inOrder.served);
            CHECK(deferring.inTime > 2 * inOrder.inTime);
            CHECK(deferring.inTime * 10 > deferring.served * 9);
            // Those that yield are mostly served all the same, or refused at once.
            CHECK((deferring.served + deferring.refused) * 10 > deferring.asked * 9);
        }
    }
}

TEST_CASE("Ordinary load, with late prefills deferred, is served as well as without")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        const auto deferring = play(PlacementOptions().deferFactor, 25, seed);
        const auto inOrder = play(never, 25, seed);
        CHECK(deferring.served == deferring.asked);
        CHECK(deferring.inTime * 100 >= inOrder.inTime * 99);
    }
}
