#include "Peers/FramePace.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

TEST_CASE("Frames of a few engines, paced, come often and within the bytes of a host")
{
    const std::size_t out = 300;
    const std::size_t in = 600;
    const auto pause = framePause(out, in, 1);
    CHECK(pause < 70ms);
    const double perSecond = 1e9 / static_cast<double>(pause.count());
    CHECK(perSecond * static_cast<double>(out + in) <= 15001);
}

TEST_CASE("Frames of many engines or of a new manifest, paced, still show that the host lives")
{
    CHECK(framePause(300, 5000, 1) == 200ms);
    CHECK(framePause(2000000, 300, 1) == 200ms);
}

TEST_CASE("Frames without work, paced, do not fill the loop") { CHECK(framePause(40, 40, 1) == 20ms); }

TEST_CASE("Frames of a reader, paced, come as often over four links, and seldom over many")
{
    CHECK(framePause(300, 600, 4) == framePause(300, 600, 1));
    CHECK(framePause(300, 1600, 33) == 200ms);
}
