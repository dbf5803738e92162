#pragma once

#include "Authority/Lease.h"
#include "Platform/Table.h"

#include <mutex>

namespace almondscale {

// Performs the table calls of one lease. Only one thread may call `step`; the other functions are
// thread-safe.
class LeaseRunner {
public:
    LeaseRunner(Lease, Table, Clock);

    // Performs the call that is due and blocks until its answer. Returns false if none is due.
    bool step();

    // A snapshot of the lease. An older snapshot stays safe to act on: it holds the time until
    // which this host may act, which only the host's own release can shorten.
    Lease lease() const;

    void release();

private:
    mutable std::mutex m_mutex;
    Lease m_lease;
    Table m_table;
    Clock m_clock;
};

} // namespace almondscale
