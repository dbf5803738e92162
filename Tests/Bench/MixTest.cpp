#include "Shift/Mix.h"

#include "Roles/RoleCapacity.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("Mix, lines of two models, follow each other within a model")
{
    std::string error;
    const auto mix
        = readMix("# head\n60 10 3000 20 0.3 2500\n30 5 100 200 0 9000 1 # other\n60 1 1 1 0 1\n", error);
    REQUIRE(mix);
    REQUIRE(mix->segments.size() == 3);
    CHECK(mix->models() == 2);
    CHECK(mix->segments[1].start == Nanoseconds(0));
    CHECK(mix->segments[2].start == std::chrono::seconds(60));
    CHECK(mix->length() == std::chrono::seconds(120));
}

TEST_CASE("Mix, a wrong line, is refused with its number")
{
    for (const char* line : { "60 10 3000 20 0.3", "60 10 3000 20 1 2500", "0 10 3000 20 0.3 2500",
             "60 10 3000 20 0.3 2500 x", "60 10 3000 20 0.3 2500 2", "60 -1 3000 20 0.3 2500" }) {
        CAPTURE(line);
        std::string error;
        CHECK_FALSE(readMix(std::string("60 10 3000 20 0.3 2500\n") + line + "\n", error));
        CHECK(error.find("line 2") == 0);
    }
}

TEST_CASE("Mix, scaled to a load, asks on average for that share of what the best roles give")
{
    const auto fleet = *builtInFleet("nigam");
    for (const auto& name : builtInMixNames()) {
        CAPTURE(name);
        auto mix = *builtInMix(name);
        scaleLoad(mix, fleet, 0.8);
        const RoleCapacity capacity(fleet.speeds);
        const int models = mix.models();
        double share = 0;
        double time = 0;
        for (const auto& segment : mix.segments) {
            if (segment.model != 0)
                continue;
            double given = 0;
            for (int dataCentre = 0; dataCentre < 3; ++dataCentre) {
                const auto demand = segmentDemand(segment);
                const auto roles = capacity.best(fleet.enginesIn(dataCentre, 0, models), demand);
                given += capacity.answersPerSecond(roles, demand);
            }
            const double length = std::chrono::duration<double>(segment.length).count();
            share += length * segment.requestsPerSecond / given;
            time += length;
        }
        CHECK(share / time == Approx(0.8));
    }
}

TEST_CASE("Mix, an unknown name, is not found") { CHECK_FALSE(builtInMix("unknown")); }
