#include "Serving/SpeedExchange.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t server = 7;

struct SimulatedHost {
    SpeedExchange exchange;
    ServerSpeeds::Sums local;
    MonotonicTime sampledAt = testStart;

    ServerSpeeds::Sums localAt(MonotonicTime now) const
    {
        auto sums = local;
        for (auto& entry : sums)
            entry.second *= ServerSpeeds::decay(now - sampledAt);
        return sums;
    }
};

// Two readers, of which the first two hosts and the last two hosts are followers.
class SpeedExchangeFixture {
public:
    SpeedExchangeFixture()
    {
        for (auto& host : hosts)
            host.local[server] = { 2, 4, 0, 0 };
    }

    // Sends the changes over the link from one host to another.
    std::size_t send(std::size_t from, std::size_t to)
    {
        const auto sums = hosts[from].exchange.changesFor(
            &hosts[to], follows(to, from), hosts[from].localAt(now), 100, now);
        hosts[to].exchange.receive(&hosts[from], follows(from, to), sums, now);
        return sums.size();
    }

    // Each link in both directions.
    std::size_t sendAll()
    {
        std::size_t sent = 0;
        for (const auto& [a, b] : std::vector<std::pair<std::size_t, std::size_t>> {
                 { 2, 0 }, { 2, 1 }, { 2, 3 }, { 3, 4 }, { 3, 5 } })
            sent += send(a, b) + send(b, a);
        return sent;
    }

    double knownWeight(std::size_t host)
    {
        auto sums = hosts[host].exchange.remoteSums(now);
        return sums[server].prefillWeight;
    }

    std::vector<SimulatedHost> hosts { 6 };
    MonotonicTime now = testStart;

private:
    static bool follows(std::size_t host, std::size_t reader)
    {
        return (reader == 2 && host < 2) || (reader == 3 && host > 3);
    }
};

} // namespace

TEST_CASE_METHOD(
    SpeedExchangeFixture, "Samples of all hosts, passed on by the readers, count once at each host")
{
    for (int i = 0; i < 4; ++i)
        sendAll();
    for (std::size_t host = 0; host < hosts.size(); ++host)
        CHECK(knownWeight(host) == Approx(20));
    // Without new samples nothing is sent, and the sums decay alike everywhere.
    now += 5s;
    CHECK(sendAll() == 0);
    for (std::size_t host = 0; host < hosts.size(); ++host)
        CHECK(knownWeight(host) == Approx(20 * ServerSpeeds::decay(5s)));
}

TEST_CASE_METHOD(SpeedExchangeFixture, "Samples of a host whose link has closed are withdrawn everywhere")
{
    for (int i = 0; i < 4; ++i)
        sendAll();
    hosts[2].exchange.remove(&hosts[0]);
    hosts[2].exchange.receive(&hosts[1], true, {}, now);
    send(2, 1);
    send(2, 3);
    send(3, 4);
    for (const std::size_t host : { 1, 2, 4 })
        CHECK(knownWeight(host) == Approx(16));
}

TEST_CASE_METHOD(SpeedExchangeFixture, "More servers than fit into a frame are sent in turn")
{
    for (std::uint64_t i = 0; i < 250; ++i)
        hosts[0].local[i] = { 1, 4, 0, 0 };
    for (const std::size_t expected : { 100, 100, 50, 0 })
        CHECK(send(0, 2) == expected);
    CHECK(hosts[2].exchange.remoteSums(now).size() == 250);
}
