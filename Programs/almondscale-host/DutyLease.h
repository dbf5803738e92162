#pragma once

#include "Authority/Lease.h"
#include "platform/StoreClient.h"

#include <functional>

namespace almondscale {

// Competes for the lease whose holder alone gives orders to engines and to the platform, and reports usage.
// One lease for all of them costs one row and one renewal, and decisions that depend on each other have one
// owner.
class DutyLease {
public:
    // Few hosts are candidates, since each reads the lease often.
    DutyLease(platform::StoreClient&, HostId, Nanoseconds duration, std::function<bool()> isCandidate);

    // Acquires and renews the lease; does not return.
    awaitable<void> run();
    // Releases the lease; nothing may be sent in its name afterwards.
    void release();

    // Whether this host holds the lease, and nothing that an earlier holder sent can take effect any more.
    bool mayAct() const;
    // The time until which mayAct() stays true without a renewal.
    Deadline validUntil() const { return m_lease.validUntil(); }
    FencingToken fencing() const { return m_lease.fencing(); }
    const HostId& host() const { return m_host; }
    const Lease& lease() const { return m_lease; }

private:
    void logChange();

    platform::StoreClient& m_store;
    HostId m_host;
    Lease m_lease;
    std::function<bool()> m_isCandidate;
    bool m_holding = false;
    bool m_releasing = false;
};

} // namespace almondscale
