#include "Rules/RulesReplica.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace almondscale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RulesChange change(std::uint64_t version)
{
    RulesChange result;
    result.version = RulesVersion(version);
    result.change = WriterId("c" + std::to_string(version));
    result.text = "limit a requests-per-second=" + std::to_string(version) + " # ana\n";
    return result;
}

// A replica whose callbacks only record their calls.
struct RulesReplicaFixture {
    MonotonicTime now { seconds(1000) };
    DataCentreRank rank { 1, 0 };
    std::vector<HostId> pulls;
    int platformReads = 0;
    std::vector<RulesVersion> adopted;
    RulesReplica replica { hooks() };

    RulesReplicaHooks hooks()
    {
        RulesReplicaHooks hooks;
        hooks.pullFromPeer = [this](const HostId& peer) { pulls.push_back(peer); };
        hooks.readPlatform = [this](RulesVersion) { ++platformReads; };
        hooks.dataCentreRank = [this] { return rank; };
        hooks.adopted
            = [this](const std::shared_ptr<const RuleSet>& rules) { adopted.push_back(rules->version); };
        hooks.random = seededRandom(4);
        return hooks;
    }

    void advance(Nanoseconds time)
    {
        for (const auto end = now + time; now < end; now += milliseconds(100))
            replica.tick(now);
    }

    void receiveHeartbeat(const char* peer, std::uint64_t version)
    {
        replica.onPeerVersion(now, HostId(peer), RulesVersion(version));
    }
};

} // namespace

TEST_CASE_METHOD(RulesReplicaFixture, "RulesReplica, new host, holds no rules until the platform answers")
{
    replica.tick(now);
    CHECK(platformReads == 1);
    CHECK(replica.rules() == nullptr);
    replica.onPlatformRules(now, change(3));
    REQUIRE(replica.rules());
    CHECK(replica.version() == RulesVersion(3));
}

TEST_CASE_METHOD(
    RulesReplicaFixture, "RulesReplica, lower or equal version from any source, is never adopted")
{
    replica.onPlatformRules(now, change(5));
    replica.onPlatformRules(now, change(4));
    replica.onPulled(now, HostId("b"), change(5));
    replica.onPulled(now, HostId("b"), change(1));
    CHECK(adopted == std::vector<RulesVersion> { RulesVersion(5) });
}

TEST_CASE_METHOD(RulesReplicaFixture, "RulesReplica, heartbeat with a higher version, pulls from that peer")
{
    replica.onPlatformRules(now, change(5));
    receiveHeartbeat("b", 5);
    CHECK(pulls.empty());
    receiveHeartbeat("c", 6);
    REQUIRE(pulls == std::vector<HostId> { HostId("c") });
    replica.onPulled(now, HostId("c"), change(6));
    CHECK(replica.version() == RulesVersion(6));
}

TEST_CASE_METHOD(RulesReplicaFixture, "RulesReplica, peer that does not answer, asks another one")
{
    replica.onPlatformRules(now, change(5));
    receiveHeartbeat("b", 6);
    receiveHeartbeat("c", 6);
    REQUIRE(pulls.size() == 1);
    advance(seconds(1));
    REQUIRE(pulls.size() == 2);
    CHECK(pulls[0] != pulls[1]);
}

TEST_CASE_METHOD(RulesReplicaFixture,
    "RulesReplica, peer that returns an older version than announced, is not pulled from in a loop")
{
    replica.onPlatformRules(now, change(5));
    receiveHeartbeat("b", 9);
    replica.onPulled(now, HostId("b"), change(5));
    CHECK(pulls.size() == 1);
}

TEST_CASE_METHOD(RulesReplicaFixture,
    "RulesReplica, new host in a platform outage, takes the highest version of its peers")
{
    receiveHeartbeat("old", 3);
    replica.tick(now);
    replica.onPlatformUnavailable(now);
    CHECK(pulls.empty());
    advance(milliseconds(500));
    receiveHeartbeat("new", 7);
    receiveHeartbeat("old", 3);
    advance(seconds(1));
    REQUIRE_FALSE(pulls.empty());
    CHECK(pulls.front() == HostId("new"));
    replica.onPulled(now, HostId("new"), change(7));
    CHECK(adopted == std::vector<RulesVersion> { RulesVersion(7) });
}

TEST_CASE_METHOD(
    RulesReplicaFixture, "RulesReplica, platform that does not answer, lets a new host pull from its peers")
{
    receiveHeartbeat("b", 3);
    advance(seconds(3));
    CHECK_FALSE(pulls.empty());
}

TEST_CASE_METHOD(RulesReplicaFixture, "RulesReplica, text that does not parse, keeps the rules in force")
{
    replica.onPlatformRules(now, change(5));
    auto broken = change(6);
    broken.text = "limit\n";
    replica.onPlatformRules(now, broken);
    CHECK(replica.version() == RulesVersion(5));
}

TEST_CASE("RulesReplica, data centres of 8 and of 800 hosts, read the platform equally often")
{
    const auto readsPerSecond = [](std::size_t hosts) {
        std::size_t reads = 0;
        MonotonicTime now { seconds(1000) };
        std::vector<std::unique_ptr<RulesReplica>> replicas;
        std::vector<bool> asked(hosts, false);
        for (std::size_t i = 0; i < hosts; ++i) {
            RulesReplicaHooks hooks;
            hooks.pullFromPeer = [](const HostId&) {};
            hooks.readPlatform = [&asked, i](RulesVersion) { asked[i] = true; };
            hooks.dataCentreRank = [hosts, i] { return DataCentreRank { hosts, i }; };
            hooks.random = seededRandom(i);
            replicas.push_back(std::make_unique<RulesReplica>(hooks));
        }
        const auto round = [&](bool counted) {
            for (std::size_t i = 0; i < hosts; ++i) {
                replicas[i]->tick(now);
                if (!asked[i])
                    continue;
                asked[i] = false;
                reads += counted ? 1 : 0;
                replicas[i]->onPlatformRules(now, change(1));
            }
            now += milliseconds(100);
        };
        round(false);
        const int rounds = 36'000;
        for (int i = 0; i < rounds; ++i)
            round(true);
        return static_cast<double>(reads) / (rounds / 10.0);
    };
    // Two readers with 1 read/s each and 0.1 reads/s of all other hosts together; the jitter shortens an
    // interval by up to 25 %.
    const double bound = (2 + 0.1) / 0.75;
    CHECK(readsPerSecond(8) <= bound);
    CHECK(readsPerSecond(800) <= bound);
}
