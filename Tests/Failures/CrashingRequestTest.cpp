#include "FailureCheck.h"
#include "FailureFleet.h"

#include "Http/HttpClient.h"
#include "Http/JsonBuilder.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class CrashingRequestFixture {
protected:
    CrashingRequestFixture()
    {
        for (std::size_t i = 0; i < m_fleet.engineCount(); ++i)
            FailureFleet::setFaults(m_fleet.engine(i), R"({"crash_on":"poisoned"})");
    }

    // Sends a request that crashes its engine, again and again, to each host.
    void repeatBadRequest(const std::string& prompt, int times)
    {
        for (int i = 0; i < times; ++i) {
            HttpCall call;
            call.to = m_fleet.host(static_cast<std::size_t>(i) % m_fleet.hostCount()).address;
            call.method = "POST";
            call.path = "/v1/completions";
            call.headers["X-Deadline-Ms"] = "10000";
            JsonBuilder body;
            body.text("model", "sorter").text("prompt", prompt).integer("max_tokens", 4);
            call.body = body.finish();
            call.deadline = Deadline::after(monotonicClock()(), 20s);
            const CallResult result = callOnce(call);
            // It can never be answered; it must be refused.
            REQUIRE(result.ok());
            CHECK(result.response->status != 200);
        }
    }

    FailureFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(CrashingRequestFixture,
    "Request, that crashes engines, takes at most two of a data centre and no other request", "[crash]")
{
    const LoadOptions options = m_fleet.load("completion prompt-words=20..60 max-tokens=20..60", 1);
    auto load = std::async(std::launch::async, [&] { return runLoad(options); });
    std::this_thread::sleep_for(500ms);
    repeatBadRequest("a poisoned prompt", 9);
    const LoadResult good = load.get();
    CHECK_THAT(brokenPromises(good), Catch::Equals(""));
    CHECK(good.tally.complete() == good.tally.sent());
    CHECK(m_fleet.crashes(0) <= 2);
    CHECK(m_fleet.crashes(1) <= 2);
    CHECK(m_fleet.crashes(0) + m_fleet.crashes(1) > 0);
}

TEST_CASE_METHOD(CrashingRequestFixture,
    "Requests, that crash engines, several at once take at most two engines each", "[crash]")
{
    const LoadOptions options = m_fleet.load("completion prompt-words=20..60 max-tokens=20..60", 1);
    auto load = std::async(std::launch::async, [&] { return runLoad(options); });
    std::this_thread::sleep_for(500ms);
    std::vector<std::future<void>> callers;
    callers.reserve(2);
    for (int i = 0; i < 2; ++i)
        callers.push_back(std::async(
            std::launch::async, [this, i] { repeatBadRequest("poisoned by " + std::to_string(i), 6); }));
    for (auto& caller : callers)
        caller.get();
    const LoadResult good = load.get();
    CHECK_THAT(brokenPromises(good), Catch::Equals(""));
    CHECK(good.tally.complete() == good.tally.sent());
    CHECK(m_fleet.crashes(0) <= 4);
    CHECK(m_fleet.crashes(1) <= 4);
}
