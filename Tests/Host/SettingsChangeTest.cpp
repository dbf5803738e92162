#include "SettingsChange.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

platform::NodeSettings settings()
{
    platform::NodeSettings settings;
    settings.host = HostId("n1");
    settings.callers = { "10.0.0.1", 8149 };
    settings.seeds = { { "10.0.0.2", 7380 } };
    return settings;
}

} // namespace

TEST_CASE("Reload of unchanged settings reports no change")
{
    const auto change = compareSettings(settings(), settings());
    CHECK(change.applied().empty());
    CHECK(change.needsRestart.empty());
}

TEST_CASE("Reload with other retry bounds, seeds and shutdown time applies them without a restart")
{
    auto read = settings();
    read.retries.minRetries = 10;
    read.seeds.clear();
    read.shutdownTime = 5s;
    const auto change = compareSettings(settings(), read);
    CHECK(change.applied() == "retries,seeds,shutdown_time");
    CHECK(change.needsRestart.empty());
}

TEST_CASE("Reload with another address and lease reports that they need a restart")
{
    auto read = settings();
    read.callers.port = 9000;
    read.lease = 9s;
    const auto change = compareSettings(settings(), read);
    CHECK(change.applied().empty());
    CHECK(change.needsRestart == "callers,lease");
}
