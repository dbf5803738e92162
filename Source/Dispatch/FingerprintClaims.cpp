#include "Dispatch/FingerprintClaims.h"

#include <algorithm>
#include <xxhash.h>

namespace almondscale {

namespace {

    // Longer than the longest request.
    constexpr Nanoseconds claimLifetime = std::chrono::minutes(10);
    constexpr Nanoseconds cleanupInterval = std::chrono::minutes(1);

} // namespace

HostId claimOwner(Fingerprint fingerprint, const std::vector<HostId>& liveHosts)
{
    const auto weight = [&](const HostId& host) {
        return XXH64(host.text().data(), host.text().size(), fingerprint.count());
    };
    return *std::max_element(liveHosts.begin(), liveHosts.end(),
        [&](const HostId& a, const HostId& b) { return weight(a) < weight(b); });
}

EngineInstance FingerprintClaims::claim(
    Fingerprint fingerprint, const EngineInstance& proposed, MonotonicTime now)
{
    removeExpired(now);
    auto& claim = m_claims[fingerprint];
    if (claim.holders == 0)
        claim.run = proposed;
    ++claim.holders;
    claim.expiresAt = now + claimLifetime;
    return claim.run;
}

void FingerprintClaims::release(Fingerprint fingerprint, const EngineInstance& run)
{
    const auto found = m_claims.find(fingerprint);
    if (found == m_claims.end() || found->second.run != run)
        return;
    if (--found->second.holders <= 0)
        m_claims.erase(found);
}

void FingerprintClaims::removeExpired(MonotonicTime now)
{
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + cleanupInterval;
    for (auto claim = m_claims.begin(); claim != m_claims.end();)
        claim = now >= claim->second.expiresAt ? m_claims.erase(claim) : std::next(claim);
}

} // namespace almondscale
