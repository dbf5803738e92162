#include "Serving/ServiceReachability.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// Prefill engines in all three data centres, decode engines in two of them.
class ReachabilityFixture {
public:
    ReachabilityFixture()
    {
        for (const char* dataCentre : { "a", "b", "c" }) {
            table.put(engineRecord(std::string("p-") + dataCentre, EngineRole::Prefill, dataCentre));
            if (std::string(dataCentre) != "a")
                table.put(engineRecord(std::string("d-") + dataCentre, EngineRole::Decode, dataCentre));
        }
    }

    void failToConnect(const char* id)
    {
        table.noteOutcome(BackendId(id), BackendOutcome::Unreachable, testStart);
    }

    std::size_t unreachableFrom(const char* dataCentre) const
    {
        return ServiceReachability(table, DataCentre(dataCentre)).unreachableServers().size();
    }

    BackendTable table;
};

} // namespace

TEST_CASE_METHOD(ReachabilityFixture,
    "Data centre without a decode engine, partitioned from all, reports them until one is reached")
{
    failToConnect("p-b");
    failToConnect("d-b");
    CHECK(unreachableFrom("a") == 0);
    failToConnect("d-c");
    CHECK(unreachableFrom("a") == 2);
    table.noteOutcome(BackendId("d-c"), BackendOutcome::Connected, testStart + 10ms);
    CHECK(unreachableFrom("a") == 0);
    CHECK(table.usable(model, testStart + 10ms, EngineRole::Decode).size() == 1);
}

TEST_CASE_METHOD(ReachabilityFixture,
    "Data centre that reaches no other one leaves its callers to them until one is reached")
{
    failToConnect("p-a");
    failToConnect("p-a");
    failToConnect("p-b");
    CHECK(unreachableFrom("c") == 0);
    failToConnect("d-b");
    CHECK(unreachableFrom("c") == 3);
    // The largest data centre, or the first of equally large ones, keeps its callers whatever it can reach.
    failToConnect("p-c");
    failToConnect("d-c");
    CHECK(unreachableFrom("b") == 0);
    table.noteOutcome(BackendId("d-b"), BackendOutcome::Answered, testStart + 1s);
    CHECK(unreachableFrom("c") == 0);
}

TEST_CASE_METHOD(ReachabilityFixture,
    "Data centre that cannot reach one server of each other one is partitioned until any of theirs is "
    "reached")
{
    for (const char* id : { "p-a", "p-a", "p-b", "p-b" })
        failToConnect(id);
    REQUIRE(unreachableFrom("c") == 3);
    // The decode engine was never marked unreachable, so it is among those that are probed.
    table.noteOutcome(BackendId("d-b"), BackendOutcome::Connected, testStart + 10ms);
    CHECK(unreachableFrom("c") == 0);
}

TEST_CASE_METHOD(ReachabilityFixture,
    "Data centre with a decode engine reports none, even if no decode engine is reachable")
{
    failToConnect("d-b");
    failToConnect("d-c");
    CHECK(unreachableFrom("b") == 0);
    CHECK(unreachableFrom("c") == 0);
}

TEST_CASE_METHOD(ReachabilityFixture, "Engine that is draining counts for no data centre")
{
    auto leaving = engineRecord("d-a", EngineRole::Decode, "a");
    leaving.draining = true;
    table.put(leaving);
    failToConnect("d-b");
    failToConnect("d-c");
    CHECK(unreachableFrom("a") == 2);
}
