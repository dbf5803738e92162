#pragma once

#include "Core/HostId.h"
#include "Core/MonotonicTime.h"
#include "Dispatch/EngineInstance.h"
#include "Dispatch/Fingerprint.h"

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace almondscale {

// The host of a data centre that keeps the claims of a fingerprint; all hosts
// with the same list of live hosts name the same one. The list must not be empty.
HostId claimOwner(Fingerprint, const std::vector<HostId>& liveHosts);

// Kept by the claim keeper: where the requests of a fingerprint run now. Equal
// requests run on the same engine, so that a crash takes one engine only. Not
// thread-safe.
class FingerprintClaims {
public:
    // The proposed engine, or the one on which an equal request already runs.
    EngineInstance claim(Fingerprint, const EngineInstance& proposed, MonotonicTime now);
    // After a crash, to be called only when the keeper has the strikes.
    void release(Fingerprint, const EngineInstance&);
    std::size_t size() const { return m_claims.size(); }

private:
    struct Claim {
        EngineInstance run;
        int holders = 0;
        // A holder that died cannot release.
        MonotonicTime expiresAt;
    };

    void removeExpired(MonotonicTime now);

    std::unordered_map<Fingerprint, Claim> m_claims;
    MonotonicTime m_nextCleanup {};
};

} // namespace almondscale
