#include "Serving/ManifestFreshness.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

StoreVersion version(std::uint64_t number, std::uint64_t era = 1)
{
    return { StoreEra(era), RowVersion(number) };
}

class ManifestFreshnessFixture {
public:
    ManifestFreshnessFixture() { freshness.onCopy(version(5), true); }

    bool prove(Nanoseconds at, StoreVersion about, StoreVersion copy)
    {
        return freshness.onProof({ start + at, about }, copy);
    }

    bool serves(Nanoseconds at) const { return freshness.keyTrust(start + at, start).serves; }
    bool denies(Nanoseconds at) const { return freshness.keyTrust(start + at, start).denies; }

    const MonotonicTime start { 1h };
    ManifestFreshness freshness { { true, 5s }, 4s, start };
};

} // namespace

TEST_CASE_METHOD(
    ManifestFreshnessFixture, "Keys are served until shortly before the bound, and denied for less")
{
    CHECK_FALSE(serves(0s));
    CHECK(prove(1s, version(5), version(5)));
    CHECK(serves(5700ms));
    CHECK_FALSE(serves(5800ms));
    CHECK(denies(4700ms));
    CHECK_FALSE(denies(4800ms));
    CHECK(freshness.age(start + 3s) == Nanoseconds(2s));
    // An older proof that comes late changes nothing.
    CHECK(prove(500ms, version(4), version(5)));
    CHECK(serves(5700ms));
}

TEST_CASE_METHOD(
    ManifestFreshnessFixture, "Proof of a newer version, or of another era, than the copy's does not count")
{
    CHECK_FALSE(prove(1s, version(6), version(5)));
    CHECK_FALSE(prove(1s, version(3, 2), version(5)));
    CHECK_FALSE(prove(1s, version(3, 0), version(5)));
    CHECK_FALSE(serves(1s));
    // The other rows of the table have changed.
    CHECK(prove(1s, version(6), version(7)));
}

TEST_CASE_METHOD(ManifestFreshnessFixture, "Manifest that is not in force gives no proof")
{
    CHECK(prove(1s, version(5), version(5)));
    freshness.onCopy(version(6), false);
    CHECK_FALSE(prove(2s, version(6), version(6)));
    CHECK(serves(5700ms));
    CHECK_FALSE(serves(6s));
    CHECK_FALSE(freshness.isReadDue(start + 6s));
    freshness.onCopy(version(7), true);
    CHECK(prove(6s, version(7), version(7)));
    CHECK(serves(6s));
}

TEST_CASE_METHOD(ManifestFreshnessFixture, "New era of the store ends the proofs of the one before")
{
    CHECK(prove(1s, version(5), version(5)));
    freshness.onCopy(version(4, 2), true);
    CHECK_FALSE(serves(1s));
    CHECK_FALSE(prove(2s, version(5), version(4, 2)));
    CHECK(prove(2s, version(4, 2), version(4, 2)));
    CHECK(serves(2s));
}

TEST_CASE_METHOD(
    ManifestFreshnessFixture, "Store is read at half of the bound, without waiting, at most once a second")
{
    CHECK_FALSE(freshness.isReadDue(start + 100ms));
    CHECK(freshness.isReadDue(start + 1s));
    CHECK(prove(1s, version(5), version(5)));
    CHECK_FALSE(freshness.isReadDue(start + 3400ms));
    CHECK(freshness.startRead(start + 3400ms) > 0s);
    CHECK(freshness.isReadDue(start + 3500ms));
    CHECK(freshness.startRead(start + 3500ms) == 0s);
    CHECK_FALSE(freshness.isReadDue(start + 4400ms));
    CHECK(freshness.isReadDue(start + 4500ms));
}

// Otherwise a host that loses its path to the store would refuse callers before 0.6 of the bound.
TEST_CASE_METHOD(
    ManifestFreshnessFixture, "Reads that wait leave enough of the bound to a host that loses the store")
{
    const auto interval = 50ms;
    const auto frames = 2 * 200ms;
    const auto oldest = 2 * freshness.startRead(start) + interval + frames;
    CHECK(prove(0s, version(5), version(5)));
    CHECK(serves(oldest + 3s));
}

// Guards against 401 for a key that was added longer ago than the deployment's bound.
TEST_CASE("Unknown key, with a manifest as old as the bound for changes, is not denied")
{
    const MonotonicTime now { 1h };
    const auto bound = GENERATE(Nanoseconds(2s), Nanoseconds(3s));
    ManifestFreshness plain({ false, 5s }, bound, now);
    CHECK(plain.keyTrust(now, now - bound + 300ms).denies);
    CHECK_FALSE(plain.keyTrust(now, now - bound).denies);
    ManifestFreshness strict({ true, 5s }, bound, now);
    strict.onCopy(version(5), true);
    CHECK(strict.onProof({ now, version(5) }, version(5)));
    CHECK(strict.keyTrust(now + bound - 300ms, now).denies);
    CHECK_FALSE(strict.keyTrust(now + bound, now + bound).denies);
}

TEST_CASE("Without strict revocation, keys are served with any manifest, and denied with a current one")
{
    const MonotonicTime now { 1h };
    ManifestFreshness freshness({ false, 5s }, 4s, now);
    CHECK(freshness.keyTrust(now, now - 1h).serves);
    CHECK_FALSE(freshness.keyTrust(now, now - 1h).denies);
    CHECK(freshness.keyTrust(now, now - 3s).denies);
    CHECK_FALSE(freshness.isReadDue(now + 1h));
    CHECK(freshness.startRead(now) > 1h);
}
