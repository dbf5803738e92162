#include "Serving/DecodeTimes.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

TEST_CASE("Slot time of a route's streams is learned without the wait for a slot")
{
    DecodeTimes times;
    CHECK(times.firstEventMs("ask") > 0);
    for (int i = 0; i < 100; ++i) {
        const auto wait = i % 2 == 0 ? 0ms : 400ms;
        times.noteStream("ask", wait + 20ms, wait + 220ms);
    }
    CHECK(times.holdMs("ask") == Approx(220).margin(15));
    CHECK(times.firstEventMs("ask") < 30);
    CHECK(times.holdMs("other") > 0);
}
