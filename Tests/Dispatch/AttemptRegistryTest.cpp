#include "Dispatch/AttemptRegistry.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("AttemptRegistry, a finished attempt, maps to no request")
{
    AttemptRegistry registry(HostId("h1"), Incarnation(7));
    const auto first = registry.start(RequestId("r1"));
    const auto second = registry.start(RequestId("r2"));
    CHECK(registry.request(first) == RequestId("r1"));
    CHECK(registry.request(second) == RequestId("r2"));
    registry.finish(first);
    CHECK_FALSE(registry.request(first));
    CHECK(registry.request(second) == RequestId("r2"));
    CHECK(registry.size() == 1);
}

TEST_CASE("AttemptRegistry, another host or incarnation, gives other ids")
{
    const RequestId request("r");
    const auto id = AttemptRegistry(HostId("h1"), Incarnation(1)).start(request);
    CHECK(AttemptRegistry(HostId("h1"), Incarnation(2)).start(request) != id);
    CHECK(AttemptRegistry(HostId("h2"), Incarnation(1)).start(request) != id);
}
