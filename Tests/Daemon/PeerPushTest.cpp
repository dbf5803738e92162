#include "PeerPush.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>

using namespace almondscale;

TEST_CASE("PeerPush, items pushed to several hosts, are taken by each under the sender's name")
{
    std::mutex mutex;
    std::vector<std::pair<HostId, std::string>> taken;
    PeerPushHooks receiving;
    receiving.take = [&](const HostId& host, const PushedItem& item) {
        const std::lock_guard lock(mutex);
        taken.emplace_back(host, item.key + "=" + item.value);
    };
    const PeerPush receiver(HostId("b"), receiving);
    PeerPushHooks sending;
    sending.peers = [] { return std::vector<HostId> { HostId("b"), HostId("c") }; };
    sending.send = [&](const HostId&, const std::string& text) { return receiver.onPush(text).has_value(); };
    const PeerPush sender(HostId("a"), sending);

    sender.push({ { "k", "v" }, { "l", "" } });
    REQUIRE(taken.size() == 4);
    CHECK(std::count(taken.begin(), taken.end(), std::make_pair(HostId("a"), std::string("k=v"))) == 2);
    CHECK(std::count(taken.begin(), taken.end(), std::make_pair(HostId("a"), std::string("l="))) == 2);
}

TEST_CASE("PeerPush, malformed push, takes nothing")
{
    const PeerPush receiver(HostId("b"), {});
    for (const char* text : { "", "{}", R"({"host":"a","items":1})" }) {
        CAPTURE(text);
        CHECK_FALSE(receiver.onPush(text).has_value());
    }
}
