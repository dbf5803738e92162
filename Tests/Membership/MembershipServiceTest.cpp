#include "Membership/MembershipService.h"

#include "Core/ErrorKind.h"
#include "Core/RandomSource.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace almondscale {

namespace {

    const std::string firstKey = "a shared key of 32 bytes, no. 1.";
    const std::string secondKey = "a shared key of 32 bytes, no. 2.";

    // Polls for up to 30 s, much longer than any of the awaited operations takes.
    bool eventually(const std::function<bool()>& holds)
    {
        for (int i = 0; i < 3000; ++i) {
            if (holds())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    // Starts services on free ports of the loopback address.
    class ServiceFixture {
    public:
        MembershipServiceSettings settings(const std::string& host, const FrameKeys& keys)
        {
            constexpr std::uint64_t firstPort = 20000;
            constexpr std::uint64_t ports = 40000;
            MembershipServiceSettings settings;
            settings.listen
                = { "127.0.0.1", static_cast<std::uint16_t>(firstPort + uniformBelow(m_random, ports)) };
            settings.membership.host = HostId(host);
            settings.membership.address = settings.listen;
            settings.membership.dataCentre = DataCentre("dc1");
            settings.membership.incarnation = Incarnation(++m_incarnations);
            settings.keys = keys;
            return settings;
        }

        // Retries with another port if the port is in use.
        std::unique_ptr<MembershipService> start(const std::string& host, const FrameKeys& keys,
            Address& address, const MembershipObservers& observers = {})
        {
            for (;;) {
                const auto wanted = settings(host, keys);
                auto service = std::make_unique<MembershipService>(wanted, observers);
                address = wanted.listen;
                if (!service->start())
                    return service;
            }
        }

    private:
        RandomSource m_random = systemRandom();
        std::uint64_t m_incarnations = 0;
    };

    bool considersLive(const MembershipService& service, const std::string& host)
    {
        const auto member = service.member(HostId(host));
        return member && member->live();
    }

    SeedHost seed(const std::string& host, const Address& address)
    {
        return { HostId(host), address, DataCentre("dc1") };
    }

} // namespace

TEST_CASE("MembershipService, three hosts share a key, they discover each other and items reach all of them")
{
    ServiceFixture fixture;
    Address a;
    Address b;
    Address c;
    const auto first = fixture.start("a", { firstKey, {} }, a);
    const auto second = fixture.start("b", { firstKey, {} }, b);
    const auto third = fixture.start("c", { firstKey, {} }, c);
    second->setSeeds({ seed("a", a) });
    third->setSeeds({ seed("a", a) });
    CHECK(eventually([&] {
        return considersLive(*second, "c") && considersLive(*third, "b") && considersLive(*first, "c");
    }));
    REQUIRE_FALSE(first->publish("leaving/engine7", "yes", ItemScope::Everywhere));
    CHECK(eventually([&] { return third->items("leaving/").size() == 1; }));
    first->leave();
    CHECK(eventually([&] { return third->member(HostId("a"))->state == MemberState::Left; }));
}

TEST_CASE("MembershipService, a host has a different key, its frames are rejected and counted")
{
    ServiceFixture fixture;
    Address a;
    Address b;
    const auto host = fixture.start("a", { firstKey, {} }, a);
    const auto unauthenticated = fixture.start("b", { secondKey, {} }, b);
    unauthenticated->setSeeds({ seed("a", a) });
    CHECK(eventually([&] { return host->transportCounters().framesUnauthorised > 2; }));
    CHECK_FALSE(host->member(HostId("b")));
    CHECK_FALSE(considersLive(*unauthenticated, "a"));
}

TEST_CASE("MembershipService, a long reply is requested from a peer, it arrives complete; an unknown topic "
          "is not found")
{
    ServiceFixture fixture;
    Address a;
    Address b;
    std::string rules(300000, 'r');
    rules[200000] = 's';
    MembershipObservers observers;
    observers.handleRequest
        = [&](const std::string& topic) { return topic == "rules" ? rules : std::string(); };
    const auto first = fixture.start("a", { firstKey, {} }, a, observers);
    const auto second = fixture.start("b", { firstKey, {} }, b);
    second->setSeeds({ seed("a", a) });
    REQUIRE(eventually([&] { return considersLive(*second, "a"); }));
    std::promise<std::string> answer;
    second->request(HostId("a"), "rules", [&](const Result<std::string>& result) {
        answer.set_value(result ? result.value() : std::string());
    });
    CHECK(answer.get_future().get() == rules);
    std::promise<ErrorKind> absent;
    second->request(
        HostId("a"), "other", [&](const Result<std::string>& result) { absent.set_value(result.kind()); });
    CHECK(absent.get_future().get() == ErrorKind::NotFound);
    std::promise<ErrorKind> unknown;
    second->request(
        HostId("c"), "rules", [&](const Result<std::string>& result) { unknown.set_value(result.kind()); });
    CHECK(unknown.get_future().get() == ErrorKind::PeerUnreachable);
}

TEST_CASE("MembershipService, the key is changed host by host, the hosts stay connected throughout")
{
    ServiceFixture fixture;
    Address a;
    Address b;
    const auto first = fixture.start("a", { firstKey, {} }, a);
    const auto second = fixture.start("b", { firstKey, {} }, b);
    second->setSeeds({ seed("a", a) });
    const auto connected = [&] { return considersLive(*first, "b") && considersLive(*second, "a"); };
    REQUIRE(eventually(connected));
    // Frames arrive in the order in which they were signed, so the arrival of an item shows that all frames
    // that were signed before it have been verified.
    const auto checkConnected = [&](const std::string& step) {
        REQUIRE_FALSE(first->publish("from-a/" + step, "yes", ItemScope::Everywhere));
        REQUIRE_FALSE(second->publish("from-b/" + step, "yes", ItemScope::Everywhere));
        const auto arrived = [&] {
            return second->items("from-a/" + step).size() == 1 && first->items("from-b/" + step).size() == 1;
        };
        REQUIRE(eventually(arrived));
        CHECK(connected());
        CHECK(first->transportCounters().framesUnauthorised == 0);
        CHECK(second->transportCounters().framesUnauthorised == 0);
    };
    const std::vector<FrameKeys> steps { { firstKey, secondKey }, { secondKey, firstKey },
        { secondKey, {} } };
    for (std::size_t step = 0; step < steps.size(); ++step) {
        REQUIRE_FALSE(first->setKeys(steps[step]));
        checkConnected("first-" + std::to_string(step));
        REQUIRE_FALSE(second->setKeys(steps[step]));
        checkConnected("second-" + std::to_string(step));
    }
    CHECK(first->setKeys({ "short", {} }) == ErrorKind::SettingsInvalid);
}

} // namespace almondscale
