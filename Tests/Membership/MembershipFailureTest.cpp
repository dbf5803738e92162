#include "FixtureSupport.h"

#include "Membership/FrameCodec.h"

#include <catch2/catch.hpp>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr auto convergenceLimit = seconds(30);
    constexpr auto propagationLimit = seconds(4);
    constexpr auto detectionLimit = seconds(8);
    constexpr auto recoveryLimit = seconds(30);

    std::optional<Member> memberAt(ControlFixture& fixture, int observer, int subject)
    {
        return fixture.find(hostNumber(observer))->membership->member(hostNumber(subject));
    }

    MemberState stateAt(ControlFixture& fixture, int observer, int subject)
    {
        return memberAt(fixture, observer, subject)->state;
    }

    bool inDataCentre(const ControlHost& host, const char* name)
    {
        return host.dataCentre == DataCentre(name);
    }

} // namespace

TEST_CASE("Membership, a host restarts immediately under its name, the new process replaces the old one")
{
    ControlFixture fixture(11, {});
    startHosts(fixture, 9, 3);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    auto& former = *fixture.find(hostNumber(4));
    REQUIRE_FALSE(former.membership->publish("demand", "12", ItemScope::Everywhere));
    fixture.run(seconds(2));
    REQUIRE(fixture.find(hostNumber(0))->membership->items("demand").size() == 1);
    const auto before = former.incarnation;
    fixture.kill(hostNumber(4));
    fixture.start(hostNumber(4), addressNumber(4), dataCentreNumber(4, 3));
    CHECK(runUntilConverged(fixture, propagationLimit));
    CHECK(before < memberAt(fixture, 0, 4)->incarnation);
    // The items of the former process are removed.
    CHECK(fixture.find(hostNumber(0))->membership->items("demand").empty());
}

TEST_CASE(
    "Membership, another host starts on the same address, the former host is dead on all hosts within 2 s")
{
    ControlFixture fixture(12, {});
    startHosts(fixture, 9, 3);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.kill(hostNumber(4));
    fixture.start(hostNumber(40), addressNumber(4), dataCentreNumber(4, 3));
    // Shorter than detection by probes would take.
    CHECK(runUntilConverged(fixture, seconds(2)));
    CHECK(stateAt(fixture, 0, 4) == MemberState::Dead);
    CHECK(stateAt(fixture, 0, 40) == MemberState::Alive);
}

TEST_CASE("Membership, a host restarts with an earlier clock than its former process, it joins")
{
    ControlFixture fixture(13, {});
    startHosts(fixture, 6, 2);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.kill(hostNumber(3));
    // Incarnations come from wall clocks; this clock has been reset.
    fixture.tune([](MembershipSettings& settings) { settings.incarnation = Incarnation(1); });
    auto& again = fixture.start(hostNumber(3), addressNumber(3), dataCentreNumber(3, 2));
    REQUIRE_FALSE(again.membership->publish("demand", "7", ItemScope::Everywhere));
    fixture.run(seconds(15));
    CHECK(fixture.holdLive(hostNumber(3)) == 6);
    CHECK(fixture.find(hostNumber(0))->membership->items("demand").size() == 1);
}

TEST_CASE("Membership, frames between two hosts are lost in one direction only, no host is declared dead")
{
    ControlFixture fixture(14, {});
    startHosts(fixture, 8, 1);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.cut([](const ControlHost& from, const ControlHost& to) {
        return from.host == hostNumber(1) && to.host == hostNumber(2);
    });
    bool dead = false;
    fixture.onReported(
        [&](const ControlHost&, const Member& member) { dead = dead || member.state == MemberState::Dead; });
    fixture.run(seconds(60));
    CHECK_FALSE(dead);
    CHECK(fixture.converged());
}

TEST_CASE("Membership, a host receives but cannot send, it is declared dead and no other host is")
{
    ControlFixture fixture(15, {});
    startHosts(fixture, 8, 1);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.cut([](const ControlHost& from, const ControlHost&) { return from.host == hostNumber(1); });
    fixture.run(detectionLimit);
    CHECK(fixture.holdLive(hostNumber(1)) <= 1);
    for (int i = 0; i < 8; ++i)
        CHECK((i == 1 || fixture.holdLive(hostNumber(i)) >= 7));
    fixture.cut({});
    CHECK(runUntilConverged(fixture, recoveryLimit));
}

TEST_CASE("Membership, a host sends but cannot receive, its suspicions make no other host dead")
{
    ControlFixture fixture(16, {});
    startHosts(fixture, 8, 1);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.cut([](const ControlHost&, const ControlHost& to) { return to.host == hostNumber(1); });
    int falseDeaths = 0;
    fixture.onReported([&](const ControlHost& at, const Member& member) {
        if (member.state == MemberState::Dead && member.host != hostNumber(1) && at.host != hostNumber(1))
            ++falseDeaths;
    });
    fixture.run(seconds(30));
    CHECK(falseDeaths == 0);
    CHECK(stateAt(fixture, 0, 1) == MemberState::Dead);
    fixture.cut({});
    CHECK(runUntilConverged(fixture, recoveryLimit));
}

TEST_CASE("Membership, a host that is considered dead reports another as dead, the report is ignored")
{
    ControlFixture fixture(24, {});
    startHosts(fixture, 5, 1);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    const auto incarnation = fixture.find(hostNumber(1))->incarnation;
    fixture.kill(hostNumber(1));
    fixture.run(detectionLimit);
    REQUIRE(stateAt(fixture, 0, 1) == MemberState::Dead);
    Frame frame;
    frame.kind = FrameKind::Push;
    frame.sender = { hostNumber(1), addressNumber(1), DataCentre("dc0"), incarnation, 0, MemberState::Alive,
        HostId(), 0, RulesVersion() };
    auto accused = frame.sender;
    accused.host = hostNumber(2);
    accused.address = addressNumber(2);
    accused.incarnation = fixture.find(hostNumber(2))->incarnation;
    accused.state = MemberState::Dead;
    frame.members.push_back(accused);
    fixture.inject(hostNumber(0), encodeFrame(frame));
    CHECK(stateAt(fixture, 0, 2) == MemberState::Alive);
}

TEST_CASE("Membership, a data centre is partitioned and reconnected, its hosts are unreachable and recover")
{
    ControlFixture fixture(17, {});
    startHosts(fixture, 12, 3);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    fixture.cut([](const ControlHost& from, const ControlHost& to) {
        return inDataCentre(from, "dc1") != inDataCentre(to, "dc1");
    });
    fixture.run(seconds(15));
    CHECK(stateAt(fixture, 0, 1) == MemberState::Unreachable);
    CHECK(stateAt(fixture, 1, 0) == MemberState::Unreachable);
    CHECK(stateAt(fixture, 1, 4) == MemberState::Alive);
    CHECK(stateAt(fixture, 0, 2) == MemberState::Alive);
    // Both sides change during the partition.
    fixture.kill(hostNumber(4));
    REQUIRE_FALSE(fixture.find(hostNumber(1))->membership->publish("k", "cut", ItemScope::Everywhere));
    fixture.find(hostNumber(0))->membership->retract("k");
    REQUIRE_FALSE(fixture.find(hostNumber(0))->membership->publish("k", "main", ItemScope::Everywhere));
    fixture.run(std::chrono::minutes(5));
    fixture.cut({});
    CHECK(runUntilConverged(fixture, recoveryLimit));
    fixture.run(detectionLimit);
    CHECK(fixture.find(hostNumber(0))->membership->items("k").size() == 2);
    CHECK(fixture.find(hostNumber(7))->membership->items("k").size() == 2);
}

TEST_CASE(
    "Membership, one data centre is split into halves for 10 min, the halves rejoin through the seed list")
{
    ControlFixture fixture(18, {});
    startHosts(fixture, 10, 1);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    const auto half = [](const ControlHost& host) { return host.address < addressNumber(5); };
    fixture.cut([&](const ControlHost& from, const ControlHost& to) { return half(from) != half(to); });
    fixture.run(std::chrono::minutes(10));
    CHECK(fixture.holdLive(hostNumber(9)) == 5);
    fixture.cut({});
    CHECK(runUntilConverged(fixture, recoveryLimit));
}

TEST_CASE(
    "Membership, truncated and altered frames arrive, they are rejected and counted, the member limit holds")
{
    ControlFixture fixture(19, {});
    startHosts(fixture, 3, 1);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    Frame frame;
    frame.kind = FrameKind::Ping;
    frame.sender = { hostNumber(1), addressNumber(1), DataCentre("dc0"), Incarnation(2), 0,
        MemberState::Alive, HostId(), 0, RulesVersion() };
    frame.members.push_back(frame.sender);
    frame.items.push_back({ hostNumber(1), Incarnation(2), "key", 1, ItemScope::Everywhere, "value" });
    const auto whole = encodeFrame(frame);
    REQUIRE(decodeFrame(whole));
    auto& membership = *fixture.find(hostNumber(0))->membership;
    const auto before = membership.counters().framesRejected;
    std::uint64_t sent = 0;
    for (std::size_t length = 0; length + 8 < whole.size(); length += 8, ++sent)
        fixture.inject(hostNumber(0), whole.substr(0, length));
    fixture.inject(hostNumber(0), std::string(maxFrameBytes + 1, 'x'));
    CHECK(membership.counters().framesRejected == before + sent + 1);
    // Whatever the altered bytes contain, the host neither crashes nor exceeds the limit on members.
    const auto random = seededRandom(19);
    for (int i = 0; i < 20000; ++i) {
        auto altered = whole;
        for (int change = 0; change < 3; ++change)
            altered[uniformBelow(random, altered.size())] = static_cast<char>(random());
        fixture.inject(hostNumber(0), altered);
    }
    CHECK(membership.counters().framesRejected > before + sent + 1);
    CHECK(membership.members().size() <= MembershipSettings().maxMembers + 1);
}

TEST_CASE("Membership, oversized names and values and a flood of hosts arrive, the limits hold")
{
    ControlFixture fixture(20, {});
    startHosts(fixture, 2, 1);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    auto& membership = *fixture.find(hostNumber(0))->membership;
    Frame frame;
    frame.kind = FrameKind::Push;
    frame.sender = { hostNumber(1), addressNumber(1), DataCentre("dc0"), Incarnation(2), 0,
        MemberState::Alive, HostId(), 0, RulesVersion() };
    auto tooLong = frame;
    tooLong.sender.host = HostId(std::string(maxNameBytes + 1, 'h'));
    CHECK(decodeFrame(encodeFrame(tooLong)).kind() == ErrorKind::FrameInvalid);
    tooLong = frame;
    tooLong.items.push_back({ hostNumber(1), Incarnation(2), "key", 1, ItemScope::Everywhere,
        std::string(maxItemValueBytes + 1, 'v') });
    CHECK(decodeFrame(encodeFrame(tooLong)).kind() == ErrorKind::FrameInvalid);
    for (int i = 0; i < 3000; ++i) {
        auto flood = frame;
        flood.members.push_back({ hostNumber(1000 + i), { "10.9.0.1", static_cast<std::uint16_t>(i + 1) },
            DataCentre("dc0"), Incarnation(1), 0, MemberState::Alive, HostId(), 0, RulesVersion() });
        fixture.inject(hostNumber(0), encodeFrame(flood));
    }
    CHECK(membership.members().size() == MembershipSettings().maxMembers + 1);
    CHECK(membership.counters().entriesRejected > 0);
    std::string value(maxItemValueBytes, 'v');
    std::error_code error;
    int published = 0;
    for (; published < 1000 && !error; ++published)
        error = membership.publish("key" + std::to_string(published), value, ItemScope::Everywhere);
    CHECK(error == ErrorKind::LimitExceeded);
    CHECK(published * maxItemValueBytes <= MembershipSettings().maxItemBytesPerHost + maxItemValueBytes);
}

TEST_CASE(
    "Membership, one host publishes that a backend server leaves, all hosts know within 4 s at 5 % loss")
{
    LinkBehaviour link;
    link.loss = 0.05;
    ControlFixture fixture(21, link);
    startHosts(fixture, 50, 5);
    REQUIRE(runUntilConverged(fixture, std::chrono::minutes(2)));
    for (int i = 0; i < 20; ++i) {
        const auto key = "leaving/engine" + std::to_string(i);
        const auto& source = *fixture.find(hostNumber(i))->membership;
        REQUIRE_FALSE(fixture.find(hostNumber(i))->membership->publish(key, "until", ItemScope::Everywhere));
        fixture.run(propagationLimit);
        std::size_t know = 0;
        for (auto* host : fixture.hosts())
            know += host->membership->items(key).size();
        CHECK(know == 50);
        CHECK(source.items(key).size() == 1);
    }
}

TEST_CASE(
    "Membership, many items are published and retracted, none reappears after the item floor was raised")
{
    ControlFixture fixture(22, {});
    startHosts(fixture, 6, 2);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    auto& source = *fixture.find(hostNumber(0))->membership;
    REQUIRE_FALSE(source.publish("stays", "1", ItemScope::Everywhere));
    // Host 5 receives none of the changes.
    fixture.pause(hostNumber(5));
    for (int i = 0; i < 200; ++i) {
        REQUIRE_FALSE(source.publish("closing/" + std::to_string(i), "1", ItemScope::Everywhere));
        fixture.run(milliseconds(100));
        source.retract("closing/" + std::to_string(i));
        fixture.run(milliseconds(100));
    }
    fixture.resume(hostNumber(5));
    REQUIRE(runUntilConverged(fixture, recoveryLimit));
    fixture.run(recoveryLimit);
    for (auto* host : fixture.hosts()) {
        CHECK(host->membership->items("closing/").empty());
        CHECK(host->membership->items("stays").size() == 1);
    }
}

TEST_CASE("Membership, a host leaves, all hosts know within 4 s and never report it as dead")
{
    ControlFixture fixture(23, {});
    startHosts(fixture, 12, 3);
    REQUIRE(runUntilConverged(fixture, convergenceLimit));
    bool dead = false;
    fixture.onReported(
        [&](const ControlHost&, const Member& member) { dead = dead || member.state == MemberState::Dead; });
    fixture.find(hostNumber(3))->membership->leave();
    fixture.run(milliseconds(600));
    fixture.kill(hostNumber(3));
    fixture.run(propagationLimit);
    CHECK(fixture.holdLive(hostNumber(3)) == 0);
    CHECK(stateAt(fixture, 7, 3) == MemberState::Left);
    fixture.run(detectionLimit);
    CHECK_FALSE(dead);
}

} // namespace almondscale
