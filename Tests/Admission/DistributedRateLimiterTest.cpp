#include "Admission/DistributedRateLimiter.h"

#include "Core/RandomSource.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr Nanoseconds tickInterval = 500ms;

// The request rate of one organisation and its distribution over hosts.
struct Demand {
    Organisation organisation;
    double perSecond = 0;
    // The fraction that reaches the first host; the rest is spread over all.
    double atFirstHost = 0;
};

// Simulates hosts that share limits, with a fake clock. Messages take one tick.
class LimitFixture {
public:
    LimitFixture(std::uint64_t seed, std::size_t hosts, double limit)
        : m_random(seededRandom(seed))
        , m_partitioned(hosts, false)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_peers.push_back({ HostId("host" + std::to_string(i)), true });
            m_index[m_peers.back().host] = i;
            m_hosts.emplace_back(
                m_peers.back().host, [limit](const Organisation&) { return std::optional<double>(limit); });
        }
        partition({});
    }

    // Partitions these hosts from the rest; they still reach each other.
    void partition(const std::vector<std::size_t>& hosts)
    {
        std::fill(m_partitioned.begin(), m_partitioned.end(), false);
        for (const auto host : hosts)
            m_partitioned[host] = true;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            auto peers = m_peers;
            for (std::size_t j = 0; j < peers.size(); ++j)
                peers[j].reachable = m_partitioned[i] == m_partitioned[j];
            m_hosts[i].setPeers(peers);
        }
    }

    void run(const std::vector<Demand>& demands, Nanoseconds length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += tickInterval) {
            for (const auto& demand : demands)
                arrive(demand);
            exchange();
        }
    }

    // The requests admitted since the last call.
    double takePassed(const Organisation& organisation) { return std::exchange(m_passed[organisation], 0); }
    std::uint64_t takeMessages() { return std::exchange(m_messages, 0); }

    double totalShare(const Organisation& organisation) const
    {
        double total = 0;
        for (const auto& host : m_hosts)
            total += host.share(organisation);
        return total;
    }

    std::vector<DistributedRateLimiter> m_hosts;

private:
    void arrive(const Demand& demand)
    {
        const double expected = demand.perSecond * std::chrono::duration<double>(tickInterval).count();
        // Whole arrivals, with the fraction rounded at random, at random times within the tick.
        const auto count = static_cast<std::size_t>(expected + uniform(m_random));
        std::vector<Nanoseconds> instants;
        for (std::size_t i = 0; i < count; ++i) {
            const auto range = static_cast<std::uint64_t>(tickInterval.count());
            instants.emplace_back(static_cast<std::int64_t>(uniformBelow(m_random, range)));
        }
        std::sort(instants.begin(), instants.end());
        for (const auto instant : instants) {
            const bool first = uniform(m_random) < demand.atFirstHost;
            const auto host = first ? 0 : uniformBelow(m_random, m_hosts.size());
            if (!m_hosts[host].admit(demand.organisation, m_now + instant))
                ++m_passed[demand.organisation];
        }
    }

    void exchange()
    {
        const auto inFlight = std::move(m_inFlight);
        m_inFlight.clear();
        for (const auto& message : inFlight) {
            const auto to = m_index.at(message.to);
            if (m_partitioned[to] == m_partitioned[m_index.at(message.from)])
                m_hosts[to].onMessage(message, m_now + tickInterval);
        }
        for (auto& host : m_hosts) {
            const auto messages = host.tick(m_now + tickInterval);
            m_inFlight.insert(m_inFlight.end(), messages.begin(), messages.end());
        }
        m_messages += m_inFlight.size();
    }

    RandomSource m_random;
    std::vector<LimitPeer> m_peers;
    std::vector<bool> m_partitioned;
    std::map<HostId, std::size_t> m_index;
    std::vector<LimitMessage> m_inFlight;
    std::map<Organisation, double> m_passed;
    std::uint64_t m_messages = 0;
    MonotonicTime m_now { 1000s };
};

const Organisation mill { "mill" };

} // namespace

TEST_CASE("DistributedRateLimiter, steady demand above the limit, admits the limit within 5 percent")
{
    const std::size_t hosts = GENERATE(8, 370);
    const double excess = GENERATE(1.1, 3.0);
    const double atFirstHost = GENERATE(0.0, 0.6, 1.0);
    constexpr double limit = 200;
    LimitFixture fixture(1, hosts, limit);
    fixture.run({ { mill, limit * excess, atFirstHost } }, 30s);
    fixture.takePassed(mill);
    fixture.run({ { mill, limit * excess, atFirstHost } }, 60s);
    const double perSecond = fixture.takePassed(mill) / 60;
    CAPTURE(hosts, excess, atFirstHost, perSecond);
    CHECK(perSecond >= 0.95 * limit);
    CHECK(perSecond <= 1.05 * limit);
}

TEST_CASE(
    "DistributedRateLimiter, hosts partitioned while demand moves, admit at most the limit and one share")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
    constexpr double limit = 200;
    constexpr std::size_t hosts = 9;
    LimitFixture fixture(seed, hosts, limit);
    fixture.run({ { mill, 400, 0.5 } }, 30s);
    double largest = 0;
    for (const auto& host : fixture.m_hosts)
        largest = std::max(largest, host.share(mill));
    fixture.takePassed(mill);
    const std::vector<std::size_t> side
        = GENERATE(std::vector<std::size_t> { 0, 1, 2 }, std::vector<std::size_t> { 3, 4, 5 });
    for (int i = 0; i < 6; ++i) {
        fixture.partition(i % 2 == 0 ? side : std::vector<std::size_t> {});
        fixture.run({ { mill, 800, i % 3 == 0 ? 0.8 : 0.0 } }, 10s);
        CHECK(fixture.totalShare(mill) <= limit * (1 + 1e-9));
    }
    CAPTURE(seed, largest);
    CHECK(fixture.takePassed(mill) / 60 <= limit + largest);
}

TEST_CASE(
    "DistributedRateLimiter, an organisation without further demand, has equal shares again and is removed")
{
    constexpr double limit = 80;
    LimitFixture fixture(1, 8, limit);
    fixture.run({ { mill, 100, 1 } }, 20s);
    CHECK(fixture.m_hosts[0].share(mill) > 0.9 * limit);
    CHECK(fixture.m_hosts[5].exchanged() == 1);
    fixture.run({}, 300s);
    fixture.takeMessages();
    fixture.run({}, 60s);
    CHECK(fixture.takeMessages() == 0);
    for (const auto& host : fixture.m_hosts) {
        CHECK(host.share(mill) == Approx(limit / 8));
        CHECK(host.buckets() == 0);
        CHECK(host.coordinated() == 0);
    }
}

namespace {

// The cost of a run with many organisations, a few of them near their limit.
struct LimitCost {
    double messagesPerHost = 0;
    std::size_t exchangedAtOneHost = 0;
    std::size_t coordinatedByAll = 0;
};

constexpr int nearLimit = 20;

LimitCost costOf(std::size_t hosts, int organisations)
{
    constexpr double limit = 10;
    std::vector<Demand> demands;
    for (int i = 0; i < organisations; ++i) {
        const double perSecond = i < nearLimit ? 1.5 * limit : 0.05 * limit;
        demands.push_back({ Organisation("org" + std::to_string(i)), perSecond, 0 });
    }
    LimitFixture fixture(1, hosts, limit);
    fixture.run(demands, 20s);
    fixture.takeMessages();
    fixture.run(demands, 10s);
    LimitCost cost;
    cost.messagesPerHost = static_cast<double>(fixture.takeMessages()) / 10 / static_cast<double>(hosts);
    for (const auto& host : fixture.m_hosts) {
        cost.exchangedAtOneHost = std::max(cost.exchangedAtOneHost, host.exchanged());
        cost.coordinatedByAll += host.coordinated();
    }
    return cost;
}

} // namespace

TEST_CASE(
    "DistributedRateLimiter, ten times as many organisations, cost no more unless they are near their limit")
{
    const std::size_t hosts = GENERATE(8, 370);
    const auto few = costOf(hosts, 1400);
    const auto many = costOf(hosts, 14000);
    INFO(hosts << " hosts: messages per host and second " << few.messagesPerHost << " and "
               << many.messagesPerHost << ", exchanged at one host " << few.exchangedAtOneHost << " and "
               << many.exchangedAtOneHost << ", coordinated by all " << few.coordinatedByAll << " and "
               << many.coordinatedByAll);
    CHECK(many.messagesPerHost <= 1.2 * few.messagesPerHost);
    CHECK(many.exchangedAtOneHost <= 1.2 * nearLimit);
    // A few organisations that are not near their limit are coordinated for a short time.
    CHECK(many.coordinatedByAll <= nearLimit + 0.01 * 14000);
}
