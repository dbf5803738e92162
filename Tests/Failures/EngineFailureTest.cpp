#include "FailureCheck.h"
#include "FailureFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr const char* longAnswers = "completion prompt-words=20..60 max-tokens=40..120\nbooking weight=0.1";

class EngineFailureFixture {
protected:
    // Runs load on all hosts and brings the failures about in the middle of it.
    template <typename Fail> LoadResult loadWhile(const Fail& fail)
    {
        const LoadOptions options = m_fleet.load(longAnswers, m_seed++);
        auto load = std::async(std::launch::async, [&] { return runLoad(options); });
        std::this_thread::sleep_for(1s);
        fail();
        return load.get();
    }

    FailureFleet m_fleet;
    // Each load has bookings of its own.
    std::uint64_t m_seed = 1;
};

} // namespace

TEST_CASE_METHOD(EngineFailureFixture, "Engine, killed under load, costs no caller its answer", "[engine]")
{
    const LoadResult result = loadWhile([&] { m_fleet.engine(0).process->signal(SIGKILL); });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.complete() == result.tally.sent());
    m_fleet.restartEngine(0);
    CHECK(m_fleet.answering({ 0, 1, 2 }));
    CHECK(m_fleet.repeatedAttempts().empty());
}

TEST_CASE_METHOD(EngineFailureFixture,
    "Engines, one of each data centre crashed under load, cost no caller its answer", "[engine]")
{
    // A second crash with a request alone on the engine rightly looks like the request's own doing, so each
    // load meets one crash in a data centre.
    for (const auto& crashing : { std::vector<std::size_t> { 0, 3 }, std::vector<std::size_t> { 1, 4 } }) {
        const LoadResult result = loadWhile([&] {
            for (const std::size_t engine : crashing)
                FailureFleet::setFaults(m_fleet.engine(engine), R"({"crash":true})");
        });
        CHECK_THAT(brokenPromises(result), Catch::Equals(""));
        CHECK(result.tally.complete() == result.tally.sent());
        CHECK(m_fleet.answering({ 0, 1, 2 }));
    }
    CHECK(m_fleet.repeatedAttempts().empty());
}

TEST_CASE_METHOD(
    EngineFailureFixture, "Engine, paused under load and woken, costs no caller its answer", "[engine]")
{
    const LoadResult result = loadWhile([&] {
        m_fleet.engine(1).process->signal(SIGSTOP);
        std::this_thread::sleep_for(2s);
        m_fleet.engine(1).process->signal(SIGCONT);
    });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.complete() == result.tally.sent());
    CHECK(m_fleet.answering({ 0, 1, 2 }));
    CHECK(m_fleet.repeatedAttempts().empty());
}

TEST_CASE_METHOD(
    EngineFailureFixture, "Connections, gone silent under load, cost no caller its answer", "[engine]")
{
    const LoadResult result = loadWhile([&] {
        for (std::size_t i = 0; i < m_fleet.engineCount(); ++i)
            FailureFleet::setFaults(m_fleet.engine(i), R"({"silent":true})");
    });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.complete() == result.tally.sent());
    CHECK(m_fleet.repeatedAttempts().empty());
}

TEST_CASE_METHOD(
    EngineFailureFixture, "Streams, cut every few tokens, reach callers whole and in order", "[engine]")
{
    for (std::size_t i = 0; i < m_fleet.engineCount(); ++i)
        FailureFleet::setFaults(m_fleet.engine(i), R"({"cut_after_tokens":30})");
    const LoadResult result = loadWhile([] {});
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.complete() == result.tally.sent());
    CHECK(m_fleet.repeatedAttempts().empty());
}

TEST_CASE_METHOD(
    EngineFailureFixture, "Engine, many times slower than it reports, costs no caller its answer", "[engine]")
{
    const LoadResult result
        = loadWhile([&] { FailureFleet::setFaults(m_fleet.engine(2), R"({"step_ms":100})"); });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.complete() == result.tally.sent());
}
