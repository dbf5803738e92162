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
    RevocationBounds bounds, Nanoseconds manifestBound, MonotonicTime startedAt, bool firstStart)
    : m_bounds(bounds)
    , m_manifestBound(manifestBound)
    , m_startedAt(startedAt)
    , m_firstStart(firstStart)
{
}

void ManifestFreshness::onEra(StoreEra era, MonotonicTime now)
{
    if (m_completeFrom && era <= m_era)
        return;
    // A store that states no era loses nothing. A host that was restarted can't tell how old the era is.
    const bool complete = era == StoreEra() || (m_firstStart && !m_completeFrom);
    m_era = era;
    m_completeFrom = complete ? Deadline() : Deadline::after(now, m_bounds.rewriteTime);
}

void ManifestFreshness::onCopy(StoreVersion version, const ManifestIdentity& inForce, bool copyInForce)
{
    m_copy = version;
    m_inForce = inForce;
    m_copyInForce = copyInForce;
    // The read of a copy that a host has waited to follow counts once it does.
    if (m_lastRead && m_lastRead->version == version)
        onRead(m_lastRead->provenAt, version, version);
}

bool ManifestFreshness::isComplete(MonotonicTime time) const
{
    return m_completeFrom && m_completeFrom->passed(time);
}

bool ManifestFreshness::onRead(MonotonicTime sentAt, StoreVersion newest, StoreVersion copy)
{
    m_lastRead = ManifestProof { sentAt, newest, {} };
    if (!m_copyInForce || copy.era != m_copy.era || newest.era != copy.era || copy < newest)
        return false;
    if (newest.era != m_era || !isComplete(sentAt))
        return false;
    keep({ sentAt, newest, m_inForce });
    return true;
}

bool ManifestFreshness::onProof(const ManifestProof& proof)
{
    const bool inForce = proof.manifest.version < m_inForce.version || proof.manifest == m_inForce;
    if (proof.manifest.version == 0 || !inForce)
        return false;
    // The other host has waited for what the operators write again.
    if (m_completeFrom && proof.version.era == m_era)
        m_completeFrom = Deadline();
    keep(proof);
    return true;
}

void ManifestFreshness::keep(const ManifestProof& proof)
{
    if (!m_proof || m_proof->provenAt < proof.provenAt)
        m_proof = proof;
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
        trust.denies = now - copyCurrentAt < m_manifestBound - margin && isComplete(now);
        return trust;
    }
    trust.serves = isYoungerThan(m_bounds.time - margin, now);
    trust.denies = isYoungerThan(std::min(m_bounds.time, m_manifestBound) - margin, now);
    return trust;
}

bool ManifestFreshness::isReadDue(MonotonicTime now) const
{
    // While the copy is not in force, reading it again gives no proof.
    if (!m_bounds.strict || !m_copyInForce || !isComplete(now) || now < m_readStartedAt + readInterval)
        return false;
    return m_proof ? !isYoungerThan(m_bounds.time / 2, now) : now >= m_startedAt + firstProofTime;
}

Nanoseconds ManifestFreshness::startRead(MonotonicTime now)
{
    if (isReadDue(now)) {
        m_readStartedAt = now;
        return {};
    }
    // The read that proves the manifest again follows at once.
    if (m_bounds.strict && m_completeFrom && !isComplete(now))
        return std::min(maxReadWait(), m_completeFrom->remaining(now));
    return maxReadWait();
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
