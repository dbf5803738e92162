#include "SimulatedPool.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace almondscale;

namespace {

constexpr double busyPrefill = 17;
constexpr double busyDecode = 5;
constexpr double busy = busyPrefill + busyDecode;
// The callers come after this time.
constexpr double idleSeconds = 20;
constexpr double daySeconds = 180;
constexpr double pi = 3.14159265;

PoolDemand scaled(double factor) { return { busyPrefill * factor, busyDecode * factor }; }

SimulatedDemand fromIdle(SimulatedDemand demand)
{
    return [demand = std::move(demand)](
               double seconds) { return seconds < idleSeconds ? PoolDemand {} : demand(seconds); };
}

const SimulatedDemand steady = fromIdle([](double) { return scaled(1); });
const SimulatedDemand wave
    = fromIdle([](double seconds) { return scaled(1 + 0.27 * std::sin(2 * pi * seconds / 11)); });
const SimulatedDemand burst
    = fromIdle([](double seconds) { return scaled(seconds > 90 && seconds < 93 ? 1.7 : 1); });
// Long prompts and long answers in turn, faster than a role change.
const SimulatedDemand mix = fromIdle([](double seconds) {
    return std::fmod(seconds, 5.6) < 2.8 ? PoolDemand { 20, 3 } : PoolDemand { 14, 7 };
});

// Keeps the utilisation between 0.5 and 0.7 by reserved servers in one data centre after the other.
std::vector<PoolOrder> keepUtilisation(SimulatedPool& pool)
{
    const auto demand = pool.demand();
    const double utilisation = (demand.prefillEngines + demand.decodeEngines) / pool.total();
    if (utilisation >= 0.5 && utilisation <= 0.7)
        return {};
    const std::string dataCentre(1, "abcd"[static_cast<int>(pool.seconds() / 5) % 4]);
    return { { model, DataCentre(dataCentre),
        std::max(2, pool.count(dataCentre, false) + (utilisation > 0.7 ? 3 : -3)), false } };
}

int spotIn(const SimulatedPool& pool)
{
    int spot = 0;
    for (const auto* dataCentre : { "a", "b", "c", "d" })
        spot += pool.count(dataCentre, true);
    return spot;
}

} // namespace

TEST_CASE(
    "Pool before any traffic gets spot servers in the place of reserved ones and stays as large as found")
{
    SimulatedPool pool(1, steady);
    pool.run(idleSeconds);
    CHECK(pool.total() == 60);
    CHECK(spotIn(pool) >= 52);
    CHECK(60 - spotIn(pool) >= 4);
    // Engines that change their role are not ready.
    CHECK(pool.fewestOfRole >= 5);
}

TEST_CASE(
    "Pool under each load has enough engines and costs less than a utilisation threshold and half as found")
{
    const std::map<std::string, SimulatedDemand> loads { { "steady", steady }, { "wave", wave },
        { "burst", burst }, { "mix", mix } };
    for (const auto& [name, load] : loads) {
        SimulatedPool pool(1, load);
        pool.run(daySeconds);
        SimulatedPool found(1, load);
        found.rule = [](SimulatedPool&) { return std::vector<PoolOrder>(); };
        found.run(daySeconds);
        SimulatedPool naive(1, load);
        naive.rule = keepUtilisation;
        naive.run(daySeconds);
        CAPTURE(
            name, pool.cost, found.cost, naive.cost, pool.orders, naive.orders, naive.missingEngineSeconds);
        CHECK(pool.missingEngineSeconds <= found.missingEngineSeconds);
        CHECK(pool.missingEngineSeconds <= naive.missingEngineSeconds);
        CHECK(pool.cost < 0.5 * found.cost);
        CHECK(pool.cost < naive.cost);
        CHECK(pool.orders < daySeconds / 3);
        CHECK(pool.reversals == 0);
    }
}

TEST_CASE("Pool that loses the spot servers of any data centre still has the engines that the demand needs")
{
    for (const auto* dataCentre : { "a", "b", "c", "d" }) {
        SimulatedPool pool(1, steady);
        pool.run(100);
        pool.reclaim(dataCentre, 110, false);
        pool.run(daySeconds);
        CAPTURE(dataCentre);
        CHECK(pool.missingEngineSeconds == 0);
        CHECK(pool.total() >= 1.5 * busy);
    }
}

TEST_CASE(
    "Pool after two reclaims without spot servers anywhere works on, and gets reserved servers meanwhile")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimulatedPool pool(seed, steady);
        pool.run(100);
        const int reserved = pool.total() - spotIn(pool);
        pool.reclaim("a", 111, true);
        pool.run(102);
        pool.reclaim("b", 111, true);
        pool.run(103);
        CAPTURE(seed, pool.missingEngineSeconds);
        CHECK(pool.total() - spotIn(pool) >= reserved + 10);
        pool.run(daySeconds);
        // A quarter of the engines for some seconds.
        CHECK(pool.worstMissing <= 0.25 * busy);
        CHECK(pool.missingEngineSeconds <= 0.25 * busy * 8);
        CHECK(pool.total() - spotIn(pool) <= 8);
    }
}

TEST_CASE(
    "Pool without spot servers anywhere keeps its reserved servers and shrinks to what the demand needs")
{
    SimulatedPool pool(1, steady);
    pool.reclaim("a", 1000, true);
    pool.run(idleSeconds);
    CHECK(pool.total() == 60);
    pool.run(daySeconds);
    CHECK(pool.missingEngineSeconds == 0);
    CHECK(spotIn(pool) == 0);
    CHECK(pool.total() < 60);
    CHECK(pool.total() >= busy / 0.7);
}

TEST_CASE("Pool that loses a data centre without notice orders other servers within a second")
{
    SimulatedPool pool(1, steady);
    pool.run(100);
    const int before = pool.total();
    pool.cutOff("b");
    REQUIRE(pool.total() <= before - 8);
    pool.run(101);
    CHECK(pool.total() >= before - 1);
    CHECK(pool.count("b", true) == 0);
}

TEST_CASE("Pool whose traffic pauses keeps its size")
{
    SimulatedPool pool(1, [](double seconds) { return scaled(seconds > 80 && seconds < 130 ? 0 : 1); });
    // The maximum of the demand still covers the time before the pause.
    pool.run(104);
    const int before = pool.total();
    pool.run(129);
    CHECK(pool.total() == before);
    pool.run(140);
    CHECK(pool.missingEngineSeconds == 0);
}

TEST_CASE("Pool order without an answer is repeated with the same number")
{
    SimulatedPool pool(1, steady);
    pool.losesAnswers = true;
    pool.run(4);
    std::map<std::pair<DataCentre, bool>, int> first;
    int repeats = 0;
    for (const auto& decision : pool.decisions) {
        const auto known = first.emplace(
            std::pair { decision.order.dataCentre, decision.order.spot }, decision.order.servers);
        CHECK(known.first->second == decision.order.servers);
        CHECK((decision.reason == PoolReason::Repeat) == !known.second);
        repeats += known.second ? 0 : 1;
    }
    CHECK(repeats >= 4);
    CHECK(repeats <= 16);
}

TEST_CASE(
    "Pool whose new servers never start keeps the engines that the demand needs and orders the other kind")
{
    SimulatedPool pool(1, [](double seconds) { return scaled(seconds < 40 ? 1 : 3); });
    pool.startsNone = true;
    pool.run(39);
    CHECK(pool.missingEngineSeconds == 0);
    pool.run(60);
    const bool orderedReserved = std::any_of(pool.decisions.begin(), pool.decisions.end(),
        [](const PoolDecision& decision) { return !decision.order.spot && decision.order.servers > 15; });
    CHECK(orderedReserved);
}

TEST_CASE(
    "Pool of a new holder under traffic releases nothing before it has seen the demand for some seconds")
{
    SimulatedPool pool(1, steady);
    pool.run(60);
    pool.changeHolder();
    const auto before = pool.decisions.size();
    pool.run(69);
    CHECK(pool.decisions.size() == before);
}

TEST_CASE("Pool and role split together, over 1,000 seeds, turn no engine back and forth")
{
    int reversals = 0;
    int shortAfterReclaim = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        const double size = 0.4 + uniform(random);
        const double decodeShare = 0.15 + 0.35 * uniform(random);
        const double amplitude = 0.3 * uniform(random);
        const double period = 5 + 15 * uniform(random);
        SimulatedPool pool(seed, [=](double seconds) {
            const double engines
                = seconds < 10 ? 0 : busy * size * (1 + amplitude * std::sin(2 * pi * seconds / period));
            return PoolDemand { engines * (1 - decodeShare), engines * decodeShare };
        });
        pool.run(30 + 10 * uniform(random));
        const double early = pool.missingEngineSeconds;
        pool.reclaim(std::string(1, "abcd"[random() % 4]), pool.seconds() + 10, random() % 2 == 0);
        pool.run(60);
        reversals += pool.reversals;
        shortAfterReclaim += pool.missingEngineSeconds > early ? 1 : 0;
    }
    CHECK(reversals == 0);
    CHECK(shortAfterReclaim == 0);
}

TEST_CASE("Pool grown for its needs costs hardly more than the cheapest one among all that meet them")
{
    PoolSpec spec;
    spec.spotPrice = 0.22;
    spec.prices = { { DataCentre("a"), 1.0 }, { DataCentre("b"), 0.8 }, { DataCentre("c"), 1.25 } };
    const PoolMix empty { { DataCentre("a"), {} }, { DataCentre("b"), {} }, { DataCentre("c"), {} } };
    constexpr int most = 6;
    for (int normal = 3; normal <= 9; normal += 3) {
        PoolNeeds needs;
        needs.normal = normal;
        needs.oneLost = normal * 2 / 3;
        needs.twoLost = normal / 3;
        needs.reserved = 2;
        double cheapest = 1e9;
        for (int code = 0; code < 117649; ++code) {
            int rest = code;
            auto mix = empty;
            for (auto& entry : mix) {
                entry.second.reserved = rest % (most + 1);
                entry.second.spot = rest / (most + 1) % (most + 1);
                rest /= (most + 1) * (most + 1);
            }
            const double price = poolPricePerSecond(mix, spec);
            if (price < cheapest && poolShortfall(mix, needs) == 0)
                cheapest = price;
        }
        const auto grown = growPool(spec, needs, empty, {}, 2 * most);
        CAPTURE(normal, cheapest);
        CHECK(poolShortfall(grown, needs) == 0);
        CHECK(poolPricePerSecond(grown, spec) <= 1.1 * cheapest);
    }
}
