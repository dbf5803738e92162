#pragma once

#include "Authority/Lease.h"
#include "Platform/Table.h"

#include <mutex>

namespace almondscale {

// Carries the calls of one lease out. One thread calls `step`; any thread may ask for the lease.
class LeaseRunner {
public:
    LeaseRunner(Lease, Table, Clock);

    // Makes the call that is due and waits for its answer. False if none is due.
    bool step();

    // The lease as it is now. An older copy stays right: it tells the end up to
    // which this host may act, which no later event but its own release takes back.
    Lease lease() const;

    void release();

private:
    mutable std::mutex m_mutex;
    Lease m_lease;
    Table m_table;
    Clock m_clock;
};

} // namespace almondscale
