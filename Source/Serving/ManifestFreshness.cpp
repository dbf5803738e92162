#include "Serving/ManifestFreshness.h"

#include <algorithm>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Keyed requests are refused this long before the bound, for the time between the check and the send.
    constexpr Nanoseconds margin = milliseconds(250);
    // A host without a path to the store still serves keyed requests for this share of the bound.
    constexpr double servedShare = 0.6;
    // Besides twice the wait of a read, a proof is this old at most while the store responds: the interval
    // between two reads, two whole frames between hosts, and two responses of the store.
    constexpr Nanoseconds proofOverhead = milliseconds(550);
    constexpr Nanoseconds minReadWait = milliseconds(100);
    // A host that has just started gets its first proof from its reader within this time.
    constexpr Nanoseconds firstProofTime = milliseconds(600);
    // A read that gives no proof is repeated at this interval.
    constexpr Nanoseconds readInterval = milliseconds(1000);

    Nanoseconds share(Nanoseconds time, double part)
    {
        return Nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * part));
    }

} // namespace

ManifestFreshness::ManifestFreshness(
    RevocationBounds bounds, Nanoseconds manifestBound, MonotonicTime startedAt)
    : m_bounds(bounds)
    , m_manifestBound(manifestBound)
    , m_startedAt(startedAt)
{
}

void ManifestFreshness::onCopy(StoreVersion version, bool inForce)
{
    // The store lost what a proof of an earlier era is about.
    if (m_proof && m_proof->version.era != version.era)
        m_proof.reset();
    m_copy = version;
    m_copyInForce = inForce;
}

bool ManifestFreshness::onProof(const ManifestProof& proof, StoreVersion copy)
{
    if (!m_copyInForce || copy.era != m_copy.era || proof.version.era != copy.era || copy < proof.version)
        return false;
    if (!m_proof || m_proof->provenAt < proof.provenAt)
        m_proof = proof;
    return true;
}

std::optional<Nanoseconds> ManifestFreshness::age(MonotonicTime now) const
{
    return m_proof ? std::optional(now - m_proof->provenAt) : std::nullopt;
}

bool ManifestFreshness::isYoungerThan(Nanoseconds bound, MonotonicTime now) const
{
    return m_proof && now - m_proof->provenAt < bound;
}

KeyTrust ManifestFreshness::keyTrust(MonotonicTime now, MonotonicTime copyCurrentAt) const
{
    KeyTrust trust;
    // A key that an older manifest lacks may have been added since.
    if (!m_bounds.strict) {
        trust.denies = now - copyCurrentAt < m_manifestBound - margin;
        return trust;
    }
    trust.serves = isYoungerThan(m_bounds.time - margin, now);
    trust.denies = isYoungerThan(std::min(m_bounds.time, m_manifestBound) - margin, now);
    return trust;
}

bool ManifestFreshness::isReadDue(MonotonicTime now) const
{
    // While the copy is not in force, reading it again gives no proof.
    if (!m_bounds.strict || !m_copyInForce || now < m_readStartedAt + readInterval)
        return false;
    return m_proof ? !isYoungerThan(m_bounds.time / 2, now) : now >= m_startedAt + firstProofTime;
}

Nanoseconds ManifestFreshness::startRead(MonotonicTime now)
{
    if (!isReadDue(now))
        return maxReadWait();
    m_readStartedAt = now;
    return {};
}

// Short enough for a host without a path to the store to serve keys for as long as it has to.
Nanoseconds ManifestFreshness::maxReadWait() const
{
    if (!m_bounds.strict)
        return Nanoseconds::max();
    const auto oldest = m_bounds.time - margin - share(m_bounds.time, servedShare);
    return std::max(minReadWait, (oldest - proofOverhead) / 2);
}

} // namespace almondscale
