#pragma once

#include "DutyLease.h"
#include "Serving/DutySettings.h"

namespace almondscale {

// Sends the calls that the holder of the lease makes to the platform, within the rate that the platform
// accepts.
class DutyCalls {
public:
    DutyCalls(ConnectionPool&, const DutyLease&, DutySettings);

    // Returns the HTTP status, or 0 if the call was not sent or got no response before the deadline or the
    // end of the lease.
    awaitable<int> send(platform::PlatformCall, Deadline);

private:
    awaitable<bool> awaitTurn(Deadline);

    ConnectionPool& m_pool;
    const DutyLease& m_lease;
    DutySettings m_settings;
    // The next call may be sent at this time.
    MonotonicTime m_nextAt {};
};

} // namespace almondscale
