#include "Shift/EngineModel.h"

#include "Core/RandomSource.h"
#include "NaiveEngine.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace almondscale;

namespace {

struct Submission {
    MonotonicTime at {};
    EngineWork work;
    // Zero if it is never cancelled.
    MonotonicTime cancelAt {};
};

// Random work, in time with the naive engine's ticks.
std::vector<Submission> randomWork(std::uint64_t seed, int count)
{
    const auto random = seededRandom(seed);
    std::vector<Submission> submissions;
    MonotonicTime at {};
    for (int i = 0; i < count; ++i) {
        at += NaiveEngine::tick * static_cast<int>(1 + uniformBelow(random, 6000));
        Submission submission;
        submission.at = at;
        submission.work.request = static_cast<RequestIndex>(i);
        submission.work.promptTokens = static_cast<int>(1 + uniformBelow(random, 3000));
        submission.work.outputTokens = static_cast<int>(2 + uniformBelow(random, 30));
        submission.work.prefix = static_cast<int>(uniformBelow(random, 3));
        submission.work.prefixTokens = submission.work.promptTokens / 3;
        if (uniformBelow(random, 4) == 0)
            submission.work.part = EngineWork::Part::Decode;
        if (uniformBelow(random, 5) == 0)
            submission.cancelAt = at + NaiveEngine::tick * static_cast<int>(1 + uniformBelow(random, 30000));
        submissions.push_back(submission);
    }
    return submissions;
}

struct Times {
    std::map<RequestIndex, MonotonicTime> prefilled;
    std::map<RequestIndex, MonotonicTime> finished;
};

EngineProfile scarceSpeeds()
{
    EngineProfile speeds;
    speeds.blocks = BlockCount(400);
    speeds.decodeSlots = 6;
    return speeds;
}

constexpr Nanoseconds runTime = std::chrono::seconds(12);

Times runNaive(const std::vector<Submission>& submissions, EngineRole role)
{
    NaiveEngine engine(scarceSpeeds(), role);
    for (MonotonicTime now {}; now < MonotonicTime(runTime); now += NaiveEngine::tick) {
        if (now > MonotonicTime {})
            engine.pass(now);
        for (const auto& submission : submissions) {
            if (submission.cancelAt == now && now > MonotonicTime {})
                engine.cancel(submission.work.request);
            if (submission.at == now)
                engine.submit(submission.work);
        }
        engine.kick();
    }
    return { engine.prefilled, engine.finished };
}

Times runModel(const std::vector<Submission>& submissions, EngineRole role)
{
    Times times;
    MonotonicTime now {};
    EngineModel engine(scarceSpeeds(), role,
        { [&](RequestIndex request) { times.prefilled[request] = now; },
            [&](RequestIndex request) { times.finished[request] = now; } });
    std::multimap<MonotonicTime, std::pair<bool, const Submission*>> events;
    for (const auto& submission : submissions) {
        events.insert({ submission.at, { true, &submission } });
        if (submission.cancelAt > MonotonicTime {})
            events.insert({ submission.cancelAt, { false, &submission } });
    }
    const auto stepsUntil = [&](MonotonicTime end) {
        while (engine.stepEnd() && *engine.stepEnd() <= end) {
            now = *engine.stepEnd();
            engine.finishStep(now);
        }
    };
    for (const auto& [at, event] : events) {
        stepsUntil(at);
        now = at;
        if (event.first)
            engine.submit(event.second->work, now);
        else
            engine.cancel(event.second->work.request, now);
    }
    stepsUntil(MonotonicTime(runTime - NaiveEngine::tick));
    return times;
}

} // namespace

TEST_CASE("EngineModel, random work with cancellations and scarce memory, agrees with the naive engine")
{
    for (const auto role : { EngineRole::Mixed, EngineRole::Prefill }) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            CAPTURE(seed, engineRoleName(role));
            const auto submissions = randomWork(seed, 80);
            const auto naive = runNaive(submissions, role);
            const auto model = runModel(submissions, role);
            CHECK(naive.finished.size() > 40);
            CHECK(model.prefilled == naive.prefilled);
            CHECK(model.finished == naive.finished);
        }
    }
}

TEST_CASE("EngineModel, any work, is busy for exactly as long as its steps take")
{
    const EngineProfile speeds = scarceSpeeds();
    EngineModel engine(speeds, EngineRole::Mixed, { [](RequestIndex) {}, [](RequestIndex) {} });
    MonotonicTime now {};
    for (const auto& submission : randomWork(7, 60)) {
        while (engine.stepEnd() && *engine.stepEnd() <= submission.at) {
            now = *engine.stepEnd();
            engine.finishStep(now);
        }
        engine.submit(submission.work, submission.at);
    }
    while (engine.stepEnd()) {
        now = *engine.stepEnd();
        engine.finishStep(now);
    }
    const auto& totals = engine.totals();
    CHECK(totals.busy
        == totals.steps * speeds.stepBase + totals.prefillTokens * speeds.perPrefillToken
            + totals.decodeTokens * speeds.perDecodeSlot);
    CHECK(totals.busy <= now.time_since_epoch());
    CHECK(engine.idle());
    CHECK(engine.load().freeBlocks == 400);
}

TEST_CASE("EngineModel, a restart with work, loses all of it and frees the memory")
{
    EngineModel engine(scarceSpeeds(), EngineRole::Mixed, { [](RequestIndex) {}, [](RequestIndex) {} });
    for (const auto& submission : randomWork(3, 20))
        engine.submit(submission.work, MonotonicTime {});
    CHECK(engine.restart(EngineRole::Decode).size() == 20);
    CHECK(engine.idle());
    CHECK(engine.role() == EngineRole::Decode);
    CHECK(engine.load().freeBlocks == 400);
    CHECK_FALSE(engine.stepEnd());
}
