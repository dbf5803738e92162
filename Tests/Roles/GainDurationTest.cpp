#include "Roles/GainDuration.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using std::chrono::seconds;

namespace {

Nanoseconds gainDuration(const std::vector<double>& gains)
{
    GainDurationSettings settings;
    settings.sampleInterval = seconds(8);
    settings.minGain = 0.1;
    settings.initialDuration = seconds(60);
    return expectedGainDuration(gains, settings);
}

} // namespace

TEST_CASE("GainDuration, no current gain, is zero")
{
    CHECK(gainDuration({ 5, 5, 5, 0 }) == Nanoseconds(0));
    CHECK(gainDuration({}) == Nanoseconds(0));
}

TEST_CASE("GainDuration, a first period of gain, lasts at least the initial duration once it is old enough")
{
    CHECK(gainDuration({ 0, 0, 5, 5 }) == seconds(16));
    CHECK(gainDuration({ 0, 0, 5, 5, 5 }) == seconds(60));
    CHECK(gainDuration({ 0, 0, 5, 5, 5, 5, 5, 5, 5, 5, 5 }) == seconds(72));
}

TEST_CASE("GainDuration, a longer period before, is expected to reach its length")
{
    CHECK(gainDuration({ 5, 5, 5, 5, 0, 0, 5 }) == seconds(24));
}

TEST_CASE("GainDuration, only shorter periods before, is expected to last as long again")
{
    CHECK(gainDuration({ 5, 0, 0, 5, 0, 0, 5, 5 }) == seconds(16));
}
