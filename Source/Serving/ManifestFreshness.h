#pragma once

#include "Core/Deadline.h"
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
    // `firstStart` is set if the system has not run before, so that the store can't have lost a manifest.
    ManifestFreshness(RevocationBounds, Nanoseconds manifestBound, MonotonicTime startedAt, bool firstStart);

    // The store is in this era.
    void onEra(StoreEra, MonotonicTime now);
    // This host's copy of the manifest, or the manifest in force, has changed. `copyInForce` is set if the
    // manifest in force is the copy's; unset if that was rejected, cannot be decoded, or is older.
    void onCopy(StoreVersion, const ManifestIdentity& inForce, bool copyInForce);
    // A read of the store that was sent at a time has shown the newest version of the table. The last
    // argument is the version of this host's copy. Returns whether that proves the manifest in force.
    bool onRead(MonotonicTime sentAt, StoreVersion newest, StoreVersion copy);
    // Counts a proof of another host if the manifest in force is that one or a newer one; returns whether it
    // is.
    bool onProof(const ManifestProof&);

    // The latest proof that counted.
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
    // Whether the operators have written again what the store lost before its era, so that its newest
    // manifest is the newest one.
    bool isComplete(MonotonicTime) const;
    void keep(const ManifestProof&);
    bool isYoungerThan(Nanoseconds, MonotonicTime now) const;
    Nanoseconds maxReadWait() const;

    RevocationBounds m_bounds;
    Nanoseconds m_manifestBound;
    MonotonicTime m_startedAt;
    std::optional<ManifestProof> m_proof;
    bool m_firstStart;
    StoreEra m_era;
    // Unset before the first response of the store.
    std::optional<Deadline> m_completeFrom;
    StoreVersion m_copy;
    bool m_copyInForce = false;
    ManifestIdentity m_inForce;
    MonotonicTime m_readStartedAt {};
    // The time and version of the last read, whatever is in force.
    std::optional<ManifestProof> m_lastRead;
};

} // namespace almondscale
