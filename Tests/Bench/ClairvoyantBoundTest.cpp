#include "Shift/ClairvoyantBound.h"

#include "Roles/RoleCapacity.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

struct Fixture {
    Fleet fleet = *builtInFleet("nigam");
    RoleCapacity capacity { fleet.speeds };

    Mix mixOf(const std::string& text)
    {
        std::string error;
        return *readMix(text, error);
    }
    ClairvoyantResult bound(const Mix& mix, const RoleCounts& initial)
    {
        return clairvoyantBound(mix, fleet, drawArrivals(mix, fleet, 1)[0], initial);
    }
};

} // namespace

TEST_CASE_METHOD(
    Fixture, "ClairvoyantBound, less load than the roles carry, is all requests without a change")
{
    const auto mix = mixOf("120 20 3000 60 0.3 4000\n");
    const auto result = bound(mix, { 0, 0, 3 });
    CHECK(
        result.completeInTime == Approx(static_cast<double>(drawArrivals(mix, fleet, 1)[0].arrivals.size())));
    CHECK(result.roleChanges == 0);
}

TEST_CASE_METHOD(Fixture, "ClairvoyantBound, far more load than any roles carry, is their capacity")
{
    const auto mix = mixOf("300 400 3000 60 0.3 4000\n");
    const auto demand = segmentDemand(mix.segments[0]);
    const auto best = capacity.best(3, demand);
    const double rate = capacity.answersPerSecond(best, demand);
    const auto result = bound(mix, best);
    // Answers may still come for one deadline after the last request.
    CHECK(result.completeInTime >= rate * 300);
    CHECK(result.completeInTime <= rate * (300 + 4 + 2) * 1.01);
    CHECK(result.roleChanges == 0);
}

TEST_CASE_METHOD(
    Fixture, "ClairvoyantBound, roles that are wrong for the whole run, pays for the change once")
{
    const auto mix = mixOf("300 60 6000 8 0.3 3000\n");
    const auto demand = segmentDemand(mix.segments[0]);
    const RoleCounts wrong { 0, 2, 1 };
    const auto result = bound(mix, wrong);
    CHECK(result.roleChanges >= 1);
    CHECK(result.roleChanges <= 3);
    CHECK(result.completeInTime > capacity.answersPerSecond(wrong, demand) * 300);
    const auto offered = static_cast<double>(drawArrivals(mix, fleet, 1)[0].arrivals.size());
    CHECK(result.completeInTime < offered);
}
