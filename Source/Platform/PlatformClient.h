#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Platform/HostList.h"
#include "Platform/Table.h"

#include <memory>

namespace almondscale {

// Reaches the platform over HTTP. Any thread may call it at any time; each call
// has a connection of its own and ends within the timeout.
class PlatformClient {
public:
    PlatformClient(const Address&, Nanoseconds callTimeout);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // The table; its hooks may outlive the client.
    Table table() const;

    Result<HostList> hosts() const;

private:
    class Impl;
    std::shared_ptr<const Impl> m_impl;
};

} // namespace almondscale
