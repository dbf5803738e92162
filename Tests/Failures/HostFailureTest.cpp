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

class HostFailureFixture {
protected:
    std::future<LoadResult> startLoad(std::uint64_t seed, const std::vector<std::size_t>& hosts)
    {
        const LoadOptions options = m_fleet.load(answersAndBookings, seed, hosts);
        return std::async(std::launch::async, [options] { return runLoad(options); });
    }

    // Load on the host that fails and, apart from it, on the others.
    template <typename Fail> void loadWhile(std::size_t failing, const Fail& fail)
    {
        std::vector<std::size_t> others;
        for (std::size_t i = 0; i < m_fleet.hostCount(); ++i) {
            if (i != failing)
                others.push_back(i);
        }
        auto onOthers = startLoad(1, others);
        auto onFailing = startLoad(2, { failing });
        std::this_thread::sleep_for(1s);
        fail();
        const LoadResult kept = onOthers.get();
        CHECK_THAT(brokenPromises(kept), Catch::Equals(""));
        INFO("refusals of the hosts that were kept: " << refusals(kept));
        CHECK(kept.tally.complete() == kept.tally.sent());
        CHECK_THAT(brokenPromises(onFailing.get(), true), Catch::Equals(""));
        CHECK(m_fleet.repeatedAttempts().empty());
    }

    FailureFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(
    HostFailureFixture, "Host, killed under load, harms no other host's callers and no booking", "[host]")
{
    loadWhile(1, [&] { m_fleet.host(1).process->signal(SIGKILL); });
    m_fleet.restartHost(1);
    CHECK(m_fleet.answering({ 0, 1, 2 }));
}

TEST_CASE_METHOD(HostFailureFixture,
    "Host, paused under load and woken, harms no other host's callers and no booking", "[host]")
{
    loadWhile(0, [&] {
        m_fleet.host(0).process->signal(SIGSTOP);
        std::this_thread::sleep_for(4s);
        m_fleet.host(0).process->signal(SIGCONT);
    });
    CHECK(m_fleet.answering({ 0, 1, 2 }));
}

TEST_CASE_METHOD(HostFailureFixture,
    "Hosts, restarted one after the other under load, finish what they accepted", "[host]")
{
    for (std::size_t i = 0; i < m_fleet.hostCount(); ++i) {
        LoadOptions options = m_fleet.load("completion prompt-words=20..60 max-tokens=100..200", i, { i });
        // All calls are under way when the host is told to end.
        options.callsPerSecond = 100;
        options.length = 300ms;
        auto load = std::async(std::launch::async, [&options] { return runLoad(options); });
        std::this_thread::sleep_for(500ms);
        m_fleet.host(i).process->signal(SIGTERM);
        const LoadResult result = load.get();
        CHECK_THAT(brokenPromises(result), Catch::Equals(""));
        CHECK(result.tally.complete() == result.tally.sent());
        CHECK(m_fleet.host(i).process->wait() == 0);
        m_fleet.restartHost(i);
        CHECK(m_fleet.answering({ 0, 1, 2 }));
    }
}
