#pragma once

#include "DutyLease.h"
#include "Forwarding/ConnectionPool.h"
#include "Serving/DutySettings.h"
#include "platform/DutyCodec.h"

#include <functional>

namespace almondscale {

// Makes the calls to the platform that only the holder of DutyLease may make, within the number that the
// platform accepts per second. All duties share it.
class DutyCalls {
public:
    using MakeCall = std::function<platform::PlatformCall(const platform::DutyStamp&)>;

    DutyCalls(ConnectionPool&, const DutyLease&, const DutySettings&);

    // Makes the call when its turn comes, with the stamp of that time, and sends it if this host is still the
    // holder. Returns the HTTP status, or 0 if there was no response by the deadline or while this host was
    // the holder; the platform may then have executed the call.
    awaitable<int> send(MakeCall, Deadline);

private:
    awaitable<int> exchange(MakeCall, Deadline);
    // Closes the connection if this host stops being the holder before it is released.
    awaitable<void> closeAfterLease(std::shared_ptr<BackendConnection*>);

    ConnectionPool& m_pool;
    const DutyLease& m_lease;
    Address m_address;
    Nanoseconds m_interval;
    // When the next call may be sent.
    MonotonicTime m_nextTurn {};
};

} // namespace almondscale
