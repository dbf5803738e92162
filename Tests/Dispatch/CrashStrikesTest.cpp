#include "Dispatch/CrashStrikes.h"

#include "Core/RandomSource.h"
#include "Support/Property.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using test::propertyHolds;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 1000s };
constexpr MonotonicTime settled = start + 1s;
const EngineInstance first { EngineId("e1"), 1 };
const EngineInstance second { EngineId("e2"), 1 };
constexpr Fingerprint bad { 1 };
constexpr Fingerprint good { 2 };

} // namespace

TEST_CASE("CrashStrikes, a request that crashed alone, is refused and stays so while it is repeated")
{
    CrashStrikes strikes;
    strikes.onCrash(first, { bad, good }, start);
    CHECK(strikes.verdict(bad, start) == StrikeVerdict::Deciding);
    CHECK(strikes.verdict(bad, settled) == StrikeVerdict::Suspect);
    CHECK(strikes.verdict(good, settled) == StrikeVerdict::Suspect);
    strikes.onCompletedAlone(good, settled);
    CHECK(strikes.verdict(good, settled) == StrikeVerdict::Normal);
    strikes.onCrashAlone(second, bad, settled);
    for (int minutes = 1; minutes < 300; minutes += 50)
        CHECK(strikes.verdict(bad, settled + std::chrono::minutes(minutes)) == StrikeVerdict::Refused);
    CHECK_FALSE(strikes.anySuspect(settled + 1s));
}

TEST_CASE("CrashStrikes, a crash reported as alone by one host and as shared by another, makes both suspect")
{
    CrashStrikes one;
    CrashStrikes other;
    one.onCrashAlone(first, bad, start);
    other.onCrash(first, { good }, start);
    for (const auto& record : other.takeChanges())
        one.merge(record, start + 100ms);
    CHECK(one.verdict(bad, settled) == StrikeVerdict::Suspect);
    CHECK(one.verdict(good, settled) == StrikeVerdict::Suspect);
}

TEST_CASE("CrashStrikes, records merged in any order and repeatedly, converge on all hosts")
{
    const bool held = propertyHolds("merged records agree on all hosts", 1, 1000, [](std::uint64_t seed) {
        const auto random = seededRandom(seed);
        std::vector<CrashStrikes> hosts(3);
        std::vector<StrikeRecord> sent;
        for (int i = 0; i < 30; ++i) {
            auto& host = hosts[uniformBelow(random, hosts.size())];
            const Fingerprint fingerprint { uniformBelow(random, 4) };
            const EngineInstance run { EngineId("e"), uniformBelow(random, 6) };
            const auto kind = uniformBelow(random, 3);
            if (kind == 0)
                host.onCrash(run, { fingerprint }, start);
            else if (kind == 1)
                host.onCrashAlone(run, fingerprint, start);
            else
                host.onCompletedAlone(fingerprint, start);
            for (const auto& record : host.takeChanges())
                sent.push_back(record);
        }
        for (auto& host : hosts) {
            std::vector<StrikeRecord> order = sent;
            order.insert(order.end(), sent.begin(), sent.end());
            for (std::size_t i = order.size() - 1; i > 0; --i)
                std::swap(order[i], order[uniformBelow(random, i + 1)]);
            for (const auto& record : order)
                host.merge(record, start);
        }
        for (std::uint64_t fingerprint = 0; fingerprint < 4; ++fingerprint) {
            const auto verdict = hosts[0].verdict(Fingerprint(fingerprint), settled);
            RC_ASSERT(hosts[1].verdict(Fingerprint(fingerprint), settled) == verdict);
            RC_ASSERT(hosts[2].verdict(Fingerprint(fingerprint), settled) == verdict);
        }
    });
    CHECK(held);
}

TEST_CASE("CrashStrikes, more records than fit, keep those that are refused")
{
    CrashStrikeOptions options;
    options.maxRecords = 10;
    CrashStrikes strikes(options);
    strikes.onCrashAlone(first, bad, start);
    for (std::uint64_t i = 100; i < 200; ++i)
        strikes.onCrash({ EngineId("e"), i }, { Fingerprint(i) }, settled);
    CHECK(strikes.records(settled).size() == 10);
    CHECK(strikes.verdict(bad, settled + 1s) == StrikeVerdict::Refused);
    CHECK(strikes.records(settled + 2h).empty());
}
