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
    explicit ManifestFreshnessFixture(bool firstStart = true)
        : freshness { { true, 5s, 2s }, 4s, start, firstStart }
    {
        freshness.onEra(StoreEra(1), start);
        freshness.onCopy(version(5), manifest, true);
    }

    // A read that was sent at the time.
    bool prove(Nanoseconds at, StoreVersion newest, StoreVersion copy)
    {
        return freshness.onRead(start + at, newest, copy);
    }

    bool serves(Nanoseconds at) const { return freshness.keyTrust(start + at, start).serves; }
    bool denies(Nanoseconds at) const { return freshness.keyTrust(start + at, start).denies; }

    const MonotonicTime start { 1h };
    const ManifestIdentity manifest { 3, 33 };
    ManifestFreshness freshness;
};

class RestartedHostFixture : public ManifestFreshnessFixture {
public:
    RestartedHostFixture()
        : ManifestFreshnessFixture(false)
    {
    }
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
    freshness.onCopy(version(6), manifest, false);
    CHECK_FALSE(prove(2s, version(6), version(6)));
    CHECK(serves(5700ms));
    CHECK_FALSE(serves(6s));
    CHECK_FALSE(freshness.isReadDue(start + 6s));
    freshness.onCopy(version(7), manifest, true);
    CHECK(prove(6s, version(7), version(7)));
    CHECK(serves(6s));
}

// Guards against a withdrawn key that is served by a manifest which the store lost and the operators have not
// written again.
TEST_CASE_METHOD(
    ManifestFreshnessFixture, "Read in a new era proves nothing until the operators have written again")
{
    CHECK(prove(1s, version(5), version(5)));
    freshness.onEra(StoreEra(2), start + 2s);
    freshness.onCopy(version(4, 2), manifest, true);
    CHECK_FALSE(prove(3s, version(5), version(4, 2)));
    CHECK_FALSE(prove(3900ms, version(4, 2), version(4, 2)));
    CHECK_FALSE(freshness.isReadDue(start + 3900ms));
    CHECK(freshness.startRead(start + 3900ms) == 100ms);
    // What was proven before stays true.
    CHECK(serves(5700ms));
    CHECK_FALSE(serves(5800ms));
    CHECK(prove(4s, version(4, 2), version(4, 2)));
    CHECK(serves(5800ms));
}

// Guards against keyed requests that are refused until the next read when all hosts start anew.
TEST_CASE("Read of a manifest that comes into force later proves it then")
{
    const MonotonicTime start { 1h };
    ManifestFreshness freshness { { true, 5s, 2s }, 4s, start, false };
    freshness.onEra(StoreEra(0), start);
    CHECK_FALSE(freshness.onRead(start, version(5, 0), version(5, 0)));
    freshness.onCopy(version(5, 0), { 1, 1 }, true);
    CHECK(freshness.keyTrust(start + 1s, start).serves);
    freshness.onCopy(version(6, 0), { 2, 2 }, true);
    CHECK(freshness.proof()->version == version(5, 0));
}

TEST_CASE_METHOD(
    ManifestFreshnessFixture, "Older manifest of a restored store gives no proof of the newer one")
{
    CHECK(prove(1s, version(5), version(5)));
    freshness.onEra(StoreEra(2), start + 2s);
    freshness.onCopy(version(4, 2), manifest, false);
    CHECK_FALSE(prove(5s, version(4, 2), version(4, 2)));
    CHECK_FALSE(serves(5800ms));
    freshness.onCopy(version(6, 2), manifest, true);
    CHECK(prove(6s, version(6, 2), version(6, 2)));
    CHECK(serves(6s));
}

// Guards against a host without memory that takes a restored store for one that has lost nothing.
TEST_CASE_METHOD(
    RestartedHostFixture, "Host that was restarted proves nothing alone until an era's time has passed")
{
    CHECK_FALSE(prove(1900ms, version(5), version(5)));
    CHECK_FALSE(freshness.isReadDue(start + 1900ms));
    CHECK(freshness.isReadDue(start + 2s));
    CHECK(prove(2s, version(5), version(5)));
    CHECK(serves(2s));
}

TEST_CASE_METHOD(
    RestartedHostFixture, "Host that was restarted counts proofs of others for its manifest or an older one")
{
    CHECK_FALSE(freshness.onProof({ start, version(5), { 4, 44 } }));
    CHECK_FALSE(freshness.onProof({ start, version(5), { 3, 34 } }));
    // Hosts of an older program do not say which manifest they prove.
    CHECK_FALSE(freshness.onProof({ start, version(5), {} }));
    CHECK_FALSE(serves(1s));
    CHECK(freshness.onProof({ start, version(5, 0), { 2, 22 } }));
    CHECK(serves(1s));
    CHECK_FALSE(prove(1s, version(5), version(5)));
    // A host that proves a manifest in this era knows that it is complete.
    CHECK(freshness.onProof({ start, version(9), manifest }));
    CHECK(prove(1s, version(5), version(5)));
}

TEST_CASE("Store that states no era is taken to lose nothing")
{
    const MonotonicTime start { 1h };
    ManifestFreshness freshness { { true, 5s, 2s }, 4s, start, false };
    freshness.onEra(StoreEra(0), start);
    freshness.onCopy(version(5, 0), { 1, 1 }, true);
    CHECK(freshness.onRead(start, version(5, 0), version(5, 0)));
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
    ManifestFreshness plain({ false, 5s }, bound, now, true);
    plain.onEra(StoreEra(1), now);
    CHECK(plain.keyTrust(now, now - bound + 300ms).denies);
    CHECK_FALSE(plain.keyTrust(now, now - bound).denies);
    ManifestFreshness strict({ true, 5s }, bound, now, true);
    strict.onEra(StoreEra(1), now);
    strict.onCopy(version(5), { 1, 1 }, true);
    CHECK(strict.onRead(now, version(5), version(5)));
    CHECK(strict.keyTrust(now + bound - 300ms, now).denies);
    CHECK_FALSE(strict.keyTrust(now + bound, now + bound).denies);
}

TEST_CASE("Without strict revocation, keys are served with any manifest, and denied with a current one")
{
    const MonotonicTime now { 1h };
    ManifestFreshness freshness({ false, 5s }, 4s, now, false);
    CHECK_FALSE(freshness.keyTrust(now, now).denies);
    freshness.onEra(StoreEra(1), now - 2s);
    CHECK(freshness.keyTrust(now, now - 1h).serves);
    CHECK_FALSE(freshness.keyTrust(now, now - 1h).denies);
    CHECK(freshness.keyTrust(now, now - 3s).denies);
    // A manifest that the store lost may have the key.
    freshness.onEra(StoreEra(2), now);
    CHECK_FALSE(freshness.keyTrust(now + 1900ms, now).denies);
    CHECK(freshness.keyTrust(now + 2s, now).denies);
    CHECK_FALSE(freshness.isReadDue(now + 1h));
    CHECK(freshness.startRead(now) > 1h);
}
