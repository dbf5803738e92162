#include "Peers/FrameInterval.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

TEST_CASE("Interval of small frames is short and within the traffic limit of a host")
{
    const std::size_t out = 300;
    const std::size_t in = 600;
    const auto interval = frameInterval(out, in, 1);
    CHECK(interval < 70ms);
    const double perSecond = 1e9 / static_cast<double>(interval.count());
    CHECK(perSecond * static_cast<double>(out + in) <= 15001);
}

TEST_CASE("Interval of large frames is at most the maximum, so that the host is not considered dead")
{
    CHECK(frameInterval(300, 5000, 1) == 200ms);
    CHECK(frameInterval(2000000, 300, 1) == 200ms);
}

TEST_CASE("Interval of frames without loads is at least the minimum")
{
    CHECK(frameInterval(40, 40, 1) == 20ms);
}

TEST_CASE("Interval of a reader's frames is the same for four links as for one, and the maximum for many")
{
    CHECK(frameInterval(300, 600, 4) == frameInterval(300, 600, 1));
    CHECK(frameInterval(300, 1600, 33) == 200ms);
}
