#include "platform/NodeSettings.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::platform;
using namespace std::chrono_literals;

namespace {

const std::string valid = "nodeName=n1\nzone=a\nip=10.1.0.38\nlisten.front=10.1.0.38:8149\n"
                          "listen.ready=10.1.0.38:8141\ninternalPortRange=7380,7395\n"
                          "seedNodes=10.1.0.38:8144,10.2.0.40:8144\nplatform.address=10.200.1.7:8142\n"
                          "limits.cpuShare=0.25\nlimits.linkMbps=1000.0\nbounds.leaseMs=3000\n"
                          "bounds.retryBudgetRatio=0.2\nbounds.retryBudgetMin=56\nfuture.field=1\n";

} // namespace

TEST_CASE("Valid settings give addresses, bounds and seeds")
{
    const auto read = parseNodeSettings(valid, "node.conf");
    CHECK(read.errors.empty());
    CHECK(read.settings.peers.text() == "10.1.0.38:7380");
    REQUIRE(read.settings.seeds.size() == 1);
    CHECK(read.settings.seeds[0].text() == "10.2.0.40:7380");
    CHECK(read.settings.lease == 3s);
    CHECK(read.settings.retries.minRetries == 56);
    CHECK(read.settings.strength == Approx(250));
    CHECK_FALSE(read.settings.firstStart);
    CHECK(parseNodeSettings(valid + "bootstrap=true\n", "node.conf").settings.firstStart);
    CHECK(read.settings.tableBounds.manifest == 2s);
    const auto bounds
        = parseNodeSettings(valid + "bounds.configApplyMs=3000\nbounds.drainTimeoutMs=2500\n", "node.conf")
              .settings.tableBounds;
    CHECK(bounds.manifest == 3s);
    CHECK(bounds.backends == 2500ms);
}

TEST_CASE("Invalid value gives an error with file, line, key and remedy")
{
    auto text = valid;
    text.replace(text.find("10.1.0.38:8149"), 14, "somewhere");
    const auto read = parseNodeSettings(text, "node.conf");
    REQUIRE(read.errors.size() == 1);
    CHECK(read.errors[0]
        == "node.conf:4: the key \"listen.front\" has the value \"somewhere\"; use an address such as "
           "10.1.0.38:8149");
}

TEST_CASE("Missing key gives an error that names it")
{
    const auto read = parseNodeSettings("zone=a\n", "node.conf");
    CHECK(read.errors.size() > 3);
    CHECK(read.errors[0] == "node.conf: the key \"nodeName\" is missing; add nodeName=VALUE");
}

TEST_CASE("Settings of a deployment with organisations give duties, revocation, usage and machine limits")
{
    const auto read = parseNodeSettings(valid
            + "zones.a=r\nzones.b=r\nbounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.usageWindowS=5\n"
              "bounds.usageLateS=10\nlimits.memoryMb=160\nlimits.maxFds=4100\n"
              "cloud.address=10.200.0.118:8103\ncloud.duties=usage_report,autoscale\ncloud.dutyPerS=50.0\n",
        "node.conf");
    REQUIRE(read.errors.empty());
    const auto& settings = read.settings;
    CHECK(settings.dataCentres == std::set<DataCentre> { DataCentre("a"), DataCentre("b") });
    CHECK(settings.revocation.strict);
    CHECK(settings.revocation.time == 5s);
    CHECK(settings.usage.window == 5s);
    CHECK(settings.usage.due == 10s);
    CHECK(settings.machine.memory == ByteCount(160 << 20));
    CHECK(settings.machine.descriptors == 4100);
    REQUIRE(settings.duties);
    CHECK(settings.duties->address.text() == "10.200.0.118:8103");
    CHECK(settings.duties->usageReports);
    CHECK(settings.duties->poolOrders);
    CHECK(settings.duties->callsPerSecond == Approx(50));
}

TEST_CASE("Settings without organisations have no duties and no strict revocation")
{
    const auto read = parseNodeSettings(valid, "node.conf");
    CHECK_FALSE(read.settings.duties);
    CHECK_FALSE(read.settings.revocation.strict);
    CHECK(read.settings.machine.memory == ByteCount(0));
}
