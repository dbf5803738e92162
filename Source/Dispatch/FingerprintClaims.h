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

// The host of a data centre that owns the claims of a fingerprint, by rendezvous hashing: all
// hosts with the same list of live hosts choose the same one. The list must not be empty.
HostId claimOwner(Fingerprint, const std::vector<HostId>& liveHosts);

// State of the claim owner: the engine on which requests of each fingerprint run. Equal requests
// run on the same engine, so that a crashing one takes down only one engine. Not thread-safe.
class FingerprintClaims {
public:
    // Claims and returns the proposed engine, or the one on which an equal request already runs.
    EngineInstance claim(Fingerprint, const EngineInstance& proposed, MonotonicTime now);
    // Releases one claim. After a crash, call only when the owner has the strikes.
    void release(Fingerprint, const EngineInstance&);
    std::size_t size() const { return m_claims.size(); }

private:
    struct Claim {
        EngineInstance run;
        int holders = 0;
        // Covers holders that died without releasing.
        MonotonicTime expiresAt;
    };

    void removeExpired(MonotonicTime now);

    std::unordered_map<Fingerprint, Claim> m_claims;
    MonotonicTime m_nextCleanup {};
};

} // namespace almondscale
