#include "FailureCheck.h"
#include "FailureFleet.h"
#include "RandomFault.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <future>
#include <iostream>
#include <thread>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr const char* answersAndBookings
    = "completion weight=3 prompt-words=20..60 max-tokens=40..120\n"
      "completion prompt-words=400..900 max-tokens=1..4\nbooking repeat=0.3";
constexpr std::uint64_t roundsPerSeed = 100000;
constexpr Nanoseconds longestFault = std::chrono::seconds(3);

std::uint64_t numberFrom(const char* variable, std::uint64_t absent)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? absent : std::strtoull(text, nullptr, 10);
}

class SoakFixture {
protected:
    // One round: load, one or two faults in the midst of it, and what they broke.
    std::string runRound(const RandomSource& random, std::uint64_t loadSeed)
    {
        std::vector<RandomFault> faults { drawFault(m_fleet, random) };
        if (uniformBelow(random, 2) == 0)
            faults.push_back(drawFault(m_fleet, random));
        std::vector<std::size_t> failing;
        std::vector<std::size_t> others;
        for (std::size_t i = 0; i < m_fleet.hostCount(); ++i) {
            const bool fails = std::any_of(faults.begin(), faults.end(),
                [i](const RandomFault& fault) { return fault.failingHost == i; });
            (fails ? failing : others).push_back(i);
        }
        auto onOthers = startLoad(2 * loadSeed, others);
        auto onFailing = startLoad(2 * loadSeed + 1, failing);
        for (const RandomFault& fault : faults) {
            std::this_thread::sleep_for(Nanoseconds(uniformBelow(random, Nanoseconds(1s).count())));
            std::cerr << "  begin " << fault.description << "\n";
            fault.begin();
        }
        std::this_thread::sleep_for(Nanoseconds(uniformBelow(random, longestFault.count())));
        for (const RandomFault& fault : faults) {
            std::cerr << "  end " << fault.description << "\n";
            fault.end();
        }
        std::string broken = onOthers.get() + onFailing.get();
        for (const std::string& attempt : m_fleet.repeatedAttempts())
            broken += "attempt " + attempt + " ran twice\n";
        if (!m_fleet.answering({ 0, 1, 2 }))
            broken += "a host does not answer after the faults\n";
        return broken;
    }

    FailureFleet m_fleet;

private:
    std::future<std::string> startLoad(std::uint64_t seed, const std::vector<std::size_t>& hosts)
    {
        const bool fails = seed % 2 == 1;
        if (hosts.empty())
            return std::async(std::launch::deferred, [] { return std::string(); });
        LoadOptions options = m_fleet.load(answersAndBookings, seed, hosts);
        options.length = 5s;
        return std::async(
            std::launch::async, [options, fails] { return brokenPromises(runLoad(options), fails); });
    }
};

} // namespace

// Hidden, because its length is the caller's choice; Utilities/soak runs it.
TEST_CASE_METHOD(SoakFixture, "Fleet, under random faults, breaks no promise", "[.][soak]")
{
    const std::uint64_t seed = numberFrom("ALMONDSCALE_SOAK_SEED", 1);
    const auto length = std::chrono::minutes(numberFrom("ALMONDSCALE_SOAK_MINUTES", 1));
    const MonotonicTime end = monotonicClock()() + length;
    const RandomSource random = seededRandom(seed);
    std::uint64_t rounds = 0;
    while (monotonicClock()() < end) {
        std::cerr << "seed=" << seed << " round=" << rounds << "\n";
        const std::string broken = runRound(random, seed * roundsPerSeed + rounds);
        INFO("seed=" << seed << " round=" << rounds << "; the faults are printed above, the logs are in "
                     << m_fleet.folder());
        REQUIRE_THAT(broken, Catch::Equals(""));
        ++rounds;
    }
    std::cerr << "seed=" << seed << " rounds=" << rounds << " breaches=0\n";
}
