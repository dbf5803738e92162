#include "ControlExperiment.h"

#include <catch2/catch.hpp>

namespace almondscale {

namespace {

    // Targets of the control plane: traffic per host, and time until new rules are in force on all hosts.
    constexpr double maxBytesPerSecond = 15000;
    constexpr double maxRulesSeconds = 4;

    ControlOptions optionsFor(double loss)
    {
        ControlOptions options;
        options.hosts = 40;
        options.seconds = 60;
        options.speedup = 20;
        options.failuresPerDay = 400;
        options.changesPerDay = 1000;
        options.loss = loss;
        options.seed = 3;
        return options;
    }

} // namespace

TEST_CASE(
    "ControlExperiment, hosts fail and are replaced while rules change, the targets are met at 0, 1 and "
    "5 % loss")
{
    const auto loss = GENERATE(0.0, 0.01, 0.05);
    const auto figures = ControlExperiment(optionsFor(loss)).run();
    CHECK(figures.changes > 3);
    CHECK(figures.failures > 0);
    CHECK(figures.replacements > 0);
    CHECK(figures.bytesPerSecondPerHost < maxBytesPerSecond);
    CHECK(figures.rulesInForceP100 < maxRulesSeconds);
    CHECK(figures.falseDeaths == 0);
}

} // namespace almondscale
