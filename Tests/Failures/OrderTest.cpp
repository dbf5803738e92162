#include "FailureCheck.h"
#include "FailureFleet.h"

#include "Http/Json.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// How often a condition is looked at, and for how long before the test gives up.
constexpr auto lookInterval = 100ms;
constexpr int mostLooks = 600;

template <typename Condition> bool await(const Condition& condition)
{
    for (int look = 0; look < mostLooks; ++look) {
        if (condition())
            return true;
        std::this_thread::sleep_for(lookInterval);
    }
    return false;
}

class OrderFixture {
protected:
    std::future<LoadResult> startLoad()
    {
        const LoadOptions options = m_fleet.load("completion prompt-words=20..60 max-tokens=40..120", 1);
        return std::async(std::launch::async, [options] { return runLoad(options); });
    }

    bool order(std::size_t engine, const std::string& kind, const std::string& value)
    {
        return await([&] { return m_fleet.orderEngine(engine, kind, value).has_value(); });
    }

    bool shows(std::size_t engine, const char* member, const std::string& value)
    {
        return await([&] {
            const auto state = parseJson(FailureFleet::engineState(m_fleet.engine(engine)));
            return state && jsonString(*state, member) == value;
        });
    }

    void requireAllAnswered(std::future<LoadResult>& load)
    {
        const LoadResult result = load.get();
        CHECK_THAT(brokenPromises(result), Catch::Equals(""));
        CHECK(result.tally.complete() == result.tally.sent());
        CHECK(m_fleet.repeatedAttempts().empty());
    }

    FailureFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(
    OrderFixture, "Orders, to engines of both data centres under load, cut no request", "[order]")
{
    auto load = startLoad();
    for (const std::size_t engine : { std::size_t(0), std::size_t(3) }) {
        REQUIRE(order(engine, "load_version", "v2"));
        CHECK(shows(engine, "version", "v2"));
    }
    requireAllAnswered(load);
}

TEST_CASE_METHOD(OrderFixture, "Role change, under load, cuts no request and shows at the engine", "[order]")
{
    auto load = startLoad();
    REQUIRE(order(1, "role", "decode"));
    CHECK(shows(1, "role", "decode"));
    requireAllAnswered(load);
    CHECK(m_fleet.answering({ 0, 1, 2 }));
}

TEST_CASE_METHOD(
    OrderFixture, "Engine, killed while an order to it is prepared, serves again and takes it", "[order]")
{
    REQUIRE(order(2, "load_version", "v2"));
    m_fleet.engine(2).process->signal(SIGKILL);
    m_fleet.restartEngine(2);
    CHECK(m_fleet.answering({ 0, 1, 2 }));
    // The order may have ended with the engine; then it is given again.
    CHECK(order(2, "load_version", "v2"));
    CHECK(shows(2, "version", "v2"));
}

TEST_CASE_METHOD(OrderFixture,
    "Lease holder, paused with an order in hand and woken, changes nothing its successor did", "[order]")
{
    for (const std::size_t engine : { std::size_t(0), std::size_t(1) }) {
        std::optional<std::size_t> holder;
        REQUIRE(await([&] {
            holder = m_fleet.orderEngine(engine, "load_version", "old");
            return holder.has_value();
        }));
        m_fleet.host(*holder).process->signal(SIGSTOP);
        REQUIRE(order(engine, "load_version", "new"));
        CHECK(shows(engine, "version", "new"));
        m_fleet.host(*holder).process->signal(SIGCONT);
        // Long enough for the woken host to do all that it was about to do.
        std::this_thread::sleep_for(4s);
        CHECK(shows(engine, "version", "new"));
    }
    CHECK(m_fleet.answering({ 0, 1, 2 }));
}
