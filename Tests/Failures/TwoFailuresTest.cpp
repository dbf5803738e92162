#include "FailureCheck.h"
#include "FailureFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr const char* answersAndBookings
    = "completion prompt-words=20..60 max-tokens=40..120\nbooking weight=0.5 repeat=0.3";

class TwoFailuresFixture {
protected:
    // Host 0 is left alone; its callers and all bookings must be served as promised.
    template <typename Fail> void loadWhile(const Fail& fail)
    {
        const LoadOptions options = m_fleet.load(answersAndBookings, 1, { 0 });
        auto load = std::async(std::launch::async, [&] { return runLoad(options); });
        std::this_thread::sleep_for(1s);
        fail();
        CHECK_THAT(brokenPromises(load.get()), Catch::Equals(""));
        CHECK(m_fleet.repeatedAttempts().empty());
    }

    FailureFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(TwoFailuresFixture, "Engine killed, while the platform is down, breaks no promise", "[two]")
{
    loadWhile([&] {
        FailureFleet::setFaults(m_fleet.platform(), R"({"down":true})");
        m_fleet.engine(0).process->signal(SIGKILL);
        std::this_thread::sleep_for(2s);
        FailureFleet::setFaults(m_fleet.platform(), R"({"down":false})");
        m_fleet.restartEngine(0);
    });
    CHECK(m_fleet.answering({ 0, 1, 2 }));
}

TEST_CASE_METHOD(TwoFailuresFixture, "Host killed, while an engine is paused, breaks no promise", "[two]")
{
    loadWhile([&] {
        m_fleet.engine(1).process->signal(SIGSTOP);
        m_fleet.host(2).process->signal(SIGKILL);
        std::this_thread::sleep_for(2s);
        m_fleet.engine(1).process->signal(SIGCONT);
        m_fleet.restartHost(2);
    });
    CHECK(m_fleet.answering({ 0, 1, 2 }));
}

TEST_CASE_METHOD(TwoFailuresFixture,
    "Connections silent, while platform and service lose answers, break no promise", "[two]")
{
    loadWhile([&] {
        FailureFleet::setFaults(m_fleet.platform(), R"({"lose_answers":10})");
        FailureFleet::setFaults(m_fleet.service(0), R"({"lose_answers":5})");
        for (std::size_t i = 0; i < m_fleet.engineCount(); ++i)
            FailureFleet::setFaults(m_fleet.engine(i), R"({"silent":true})");
    });
    CHECK(m_fleet.answering({ 0, 1, 2 }));
}
