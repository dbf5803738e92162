#include "FailureCheck.h"
#include "FailureFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class ServiceFailureFixture {
protected:
    template <typename Fail> LoadResult bookWhile(const Fail& fail)
    {
        LoadOptions options = m_fleet.load("booking repeat=0.5", 1);
        // A call that is never answered ends here.
        options.calls.deadline = 5s;
        auto load = std::async(std::launch::async, [&] { return runLoad(options); });
        std::this_thread::sleep_for(500ms);
        fail();
        return load.get();
    }

    void setFaults(const std::string& json)
    {
        FailureFleet::setFaults(m_fleet.service(0), json);
        FailureFleet::setFaults(m_fleet.service(1), json);
    }

    FailureFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(
    ServiceFailureFixture, "Service, running calls without an answer, runs no booking twice", "[service]")
{
    const LoadResult result = bookWhile([&] { setFaults(R"({"lose_answers":20})"); });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.refused() > 0);
}

TEST_CASE_METHOD(ServiceFailureFixture, "Service, holding calls for ever, runs no booking twice", "[service]")
{
    const LoadResult result = bookWhile([&] { setFaults(R"({"hang":10})"); });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.refused() > 0);
}

TEST_CASE_METHOD(ServiceFailureFixture,
    "Service, slow while bookings are repeated, gives each caller the recorded answer and runs none twice",
    "[service]")
{
    setFaults(R"({"slow_ms":300})");
    const LoadResult result = bookWhile([] {});
    INFO("refusals: " << refusals(result));
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.complete() == result.tally.sent());
}

TEST_CASE_METHOD(
    ServiceFailureFixture, "Service, cutting answers after some bytes, runs no booking twice", "[service]")
{
    const std::string bytes = GENERATE("1", "7", "30");
    const LoadResult result = bookWhile([&] { setFaults("{\"cut_after_bytes\":" + bytes + "}"); });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
    CHECK(result.tally.refused() > 0);
}

TEST_CASE_METHOD(
    ServiceFailureFixture, "Service, paused while it runs calls, runs no booking twice", "[service]")
{
    const LoadResult result = bookWhile([&] {
        m_fleet.service(0).process->signal(SIGSTOP);
        std::this_thread::sleep_for(2s);
        m_fleet.service(0).process->signal(SIGCONT);
    });
    CHECK_THAT(brokenPromises(result), Catch::Equals(""));
}
