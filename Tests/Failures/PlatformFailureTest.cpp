#include "FailureCheck.h"
#include "FailureFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr const char* completions = "completion prompt-words=20..60 max-tokens=20..60";
constexpr const char* bookings = "booking repeat=0.5";

class PlatformFailureFixture {
protected:
    // Completions must not depend on the platform; bookings may be refused without it.
    template <typename Fail> void loadWhile(const Fail& fail)
    {
        const LoadOptions answers = m_fleet.load(completions, 1);
        const LoadOptions booked = m_fleet.load(bookings, 2);
        auto onAnswers = std::async(std::launch::async, [&] { return runLoad(answers); });
        auto onBookings = std::async(std::launch::async, [&] { return runLoad(booked); });
        std::this_thread::sleep_for(1s);
        fail();
        const LoadResult answered = onAnswers.get();
        CHECK_THAT(brokenPromises(answered), Catch::Equals(""));
        CHECK(answered.tally.complete() == answered.tally.sent());
        CHECK_THAT(brokenPromises(onBookings.get()), Catch::Equals(""));
    }

    // Whether bookings are run again after the failure.
    bool booksAgain()
    {
        for (std::uint64_t seed = 10; seed < 40; ++seed) {
            LoadOptions options = m_fleet.load("booking", seed);
            options.length = 200ms;
            const LoadResult result = runLoad(options);
            CHECK_THAT(brokenPromises(result), Catch::Equals(""));
            if (result.tally.complete() == result.tally.sent())
                return true;
            std::this_thread::sleep_for(500ms);
        }
        return false;
    }

    FailureFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(
    PlatformFailureFixture, "Platform, down under load, stops no answer and doubles no booking", "[platform]")
{
    loadWhile([&] {
        FailureFleet::setFaults(m_fleet.platform(), R"({"down":true})");
        std::this_thread::sleep_for(1500ms);
        FailureFleet::setFaults(m_fleet.platform(), R"({"down":false})");
    });
    CHECK(booksAgain());
}

TEST_CASE_METHOD(
    PlatformFailureFixture, "Platform, slow under load, stops no answer and doubles no booking", "[platform]")
{
    loadWhile([&] {
        FailureFleet::setFaults(m_fleet.platform(), R"({"slow_ms":1500})");
        std::this_thread::sleep_for(1500ms);
        FailureFleet::setFaults(m_fleet.platform(), R"({"slow_ms":0})");
    });
    CHECK(booksAgain());
}

TEST_CASE_METHOD(
    PlatformFailureFixture, "Platform, losing answers of writes, doubles and loses no booking", "[platform]")
{
    loadWhile([&] {
        for (int i = 0; i < 10; ++i) {
            FailureFleet::setFaults(m_fleet.platform(), R"({"lose_answers":5})");
            std::this_thread::sleep_for(200ms);
        }
        FailureFleet::setFaults(m_fleet.platform(), R"({"lose_answers":0})");
    });
    CHECK(booksAgain());
}

TEST_CASE_METHOD(PlatformFailureFixture,
    "Platform, paused under load, stops no answer and doubles no booking", "[platform]")
{
    loadWhile([&] {
        m_fleet.platform().process->signal(SIGSTOP);
        std::this_thread::sleep_for(2500ms);
        m_fleet.platform().process->signal(SIGCONT);
    });
    CHECK(booksAgain());
}
