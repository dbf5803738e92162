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
constexpr std::uint64_t seed = 1;

class EngineFailureFixture {
protected:
    // Runs load on all hosts and brings the failures about in the middle of it.
    template <typename Fail> LoadResult loadWhile(const Fail& fail)
    {
        const LoadOptions options = m_fleet.load(longAnswers, seed);
        auto load = std::async(std::launch::async, [&] { return runLoad(options); });
        std::this_thread::sleep_for(1s);
        fail();
        return load.get();
    }

    FailureFleet m_fleet;
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
    "Engines, crashed one after the other under load, cost no caller its answer", "[engine]")
{
    const LoadResult result = loadWhile([&] {
        for (std::size_t i : { 0, 3, 1 }) {
            FailureFleet::setFaults(m_fleet.engine(i), R"({"crash":true})");
            std::this_thread::sleep_for(500ms);
        }
    });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.complete() == result.tally.sent());
    CHECK(m_fleet.answering({ 0, 1, 2 }));
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
