#include "RoutingFixture.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

double inTime(const RoutingExperiment& experiment, const RoutePolicy& policy, bool estimates)
{
    RouterOptions options;
    options.extrapolateReports = estimates;
    if (!estimates)
        options.maxEngineWait = 1h;
    const auto figures = runRouting(experiment, policy, options);
    return static_cast<double>(figures.inTime) / figures.sent;
}

} // namespace

TEST_CASE("RoutePolicy, the same arrivals at eight hosts, are answered in time more often than by baselines")
{
    RoutingExperiment experiment;
    experiment.length = 10s;
    experiment.seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
    experiment.requestsPerSecond = GENERATE(60.0, 100.0, 160.0);
    experiment.hotShare = GENERATE(0.0, 0.5);
    CAPTURE(experiment.seed, experiment.requestsPerSecond, experiment.hotShare);
    const double chosen = inTime(experiment, prefixAffinity(), true);
    CHECK(chosen >= inTime(experiment, roundRobin(), false));
    CHECK(chosen >= inTime(experiment, leastReportedLoad(), false));
    CHECK(chosen >= inTime(experiment, shortestExpectedWork(), true) - 0.01);
}
