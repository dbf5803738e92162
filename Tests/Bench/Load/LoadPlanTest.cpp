#include "Load/LoadPlan.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace almondscale;

namespace {

LoadMix mixOf(const std::string& text)
{
    std::string error;
    return *parseMix(text, error);
}

} // namespace

TEST_CASE("Plan, drawn twice from one seed, is the same and in order of time", "[load]")
{
    PlanSize size;
    size.hosts = 3;
    const LoadMix mix = mixOf(*namedMix("shift"));
    const auto first = planCalls(mix, size);
    const auto second = planCalls(mix, size);
    REQUIRE(first.size() == second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].at == second[i].at);
        CHECK(promptOf(first[i], mix.lines[first[i].line]) == promptOf(second[i], mix.lines[second[i].line]));
        CHECK((i == 0 || first[i - 1].at <= first[i].at));
    }
}

TEST_CASE("Plan, with a shift, has each line only in its part of the run", "[load]")
{
    PlanSize size;
    size.length = std::chrono::seconds(100);
    const auto calls = planCalls(mixOf("completion until=0.5\ncompletion from=0.5\n"), size);
    REQUIRE_FALSE(calls.empty());
    for (const PlannedCall& call : calls)
        CHECK((call.line == 0) == (call.at < size.length / 2));
}

TEST_CASE("Booking, planned with a repeat, has the same key at another host", "[load]")
{
    PlanSize size;
    size.hosts = 2;
    const auto calls = planCalls(mixOf("booking repeat=1\n"), size);
    std::map<std::string, std::vector<std::size_t>> hosts;
    for (const PlannedCall& call : calls)
        hosts[call.key.text()].push_back(call.host);
    REQUIRE_FALSE(hosts.empty());
    for (const auto& [key, called] : hosts) {
        REQUIRE(called.size() == 2);
        CHECK(called[0] != called[1]);
    }
}
