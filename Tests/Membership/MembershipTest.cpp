#include "FixtureSupport.h"

#include <catch2/catch.hpp>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr auto convergenceLimit = seconds(30);
    constexpr auto propagationLimit = seconds(4);
    constexpr auto detectionLimit = seconds(8);

    MemberState stateAt(ControlFixture& fixture, int observer, int subject)
    {
        return fixture.find(hostNumber(observer))->membership->member(hostNumber(subject))->state;
    }

} // namespace

TEST_CASE("Membership, hosts of three data centres start from a seed list, every host knows all hosts")
{
    ControlFixture fixture(1, {});
    startHosts(fixture, 9, 3);
    CHECK(runUntilConverged(fixture, convergenceLimit));
}

TEST_CASE("Membership, a host is killed, it is dead on all hosts and no other host is")
{
    ControlFixture fixture(2, {});
    startHosts(fixture, 9, 3);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.kill(hostNumber(4));
    CHECK(runUntilConverged(fixture, detectionLimit));
    CHECK(stateAt(fixture, 0, 4) == MemberState::Dead);
}

TEST_CASE("Membership, a host is paused and resumed, it is dead in between and recovers by refutation")
{
    ControlFixture fixture(3, {});
    startHosts(fixture, 9, 3);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.pause(hostNumber(4));
    fixture.run(detectionLimit);
    CHECK(fixture.holdLive(hostNumber(4)) <= 1);
    fixture.resume(hostNumber(4));
    CHECK(runUntilConverged(fixture, detectionLimit));
    CHECK(fixture.find(hostNumber(4))->membership->counters().pauses == 1);
}

} // namespace almondscale
