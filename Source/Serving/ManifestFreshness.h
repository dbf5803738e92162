#pragma once

#include "Serving/KeyTrust.h"
#include "Serving/ManifestProof.h"
#include "Serving/RevocationBounds.h"

#include <optional>

namespace almondscale {

// Keeps the latest time at which the manifest in force on this host was provably the newest one that the
// store had acknowledged, and decides from its age what may be done with callers' keys.
class ManifestFreshness {
public:
    // `manifestBound`: a change is in force on every host that can reach the store within this time.
    ManifestFreshness(RevocationBounds, Nanoseconds manifestBound, MonotonicTime startedAt);

    // This host's copy of the manifest has changed. `inForce` is set if the manifest in force is the copy's
    // or a newer one; unset if the copy's was rejected or cannot be decoded.
    void onCopy(StoreVersion, bool inForce);
    // Counts a proof if the manifest in force is at least of the version that it is about; returns whether it
    // is. The second argument is the version of this host's copy.
    bool onProof(const ManifestProof&, StoreVersion copy);

    // The latest proof that counted, unless the store has begun a new era since.
    const std::optional<ManifestProof>& proof() const { return m_proof; }
    std::optional<Nanoseconds> age(MonotonicTime now) const;
    // `copyCurrentAt` is the time at which the copy was last said to be current.
    KeyTrust keyTrust(MonotonicTime now, MonotonicTime copyCurrentAt) const;

    // Whether this host reads the store itself, without waiting for a change, because no proof has arrived in
    // time.
    bool isReadDue(MonotonicTime now) const;
    // A read of the manifest begins. Returns how long it may wait for a change.
    Nanoseconds startRead(MonotonicTime now);

private:
    bool isYoungerThan(Nanoseconds, MonotonicTime now) const;
    Nanoseconds maxReadWait() const;

    RevocationBounds m_bounds;
    Nanoseconds m_manifestBound;
    MonotonicTime m_startedAt;
    std::optional<ManifestProof> m_proof;
    StoreVersion m_copy;
    bool m_copyInForce = false;
    MonotonicTime m_readStartedAt {};
};

} // namespace almondscale
