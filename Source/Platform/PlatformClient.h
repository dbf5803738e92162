#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Platform/HostList.h"
#include "Platform/Table.h"

#include <memory>

namespace almondscale {

// HTTP client of the platform. Thread-safe; each call uses a new connection and returns within the timeout.
class PlatformClient {
public:
    PlatformClient(const Address&, Nanoseconds callTimeout);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // The platform's table; its callbacks may outlive the client.
    Table table() const;

    // The list of hosts and backend servers, or PlatformUnavailable.
    Result<HostList> hosts() const;

private:
    class Impl;
    std::shared_ptr<const Impl> m_impl;
};

} // namespace almondscale
