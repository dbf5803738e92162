#pragma once

#include "Serving/BackendDirectory.h"
#include "platform/StoreClient.h"

namespace almondscale {

// Follows the registrations of backend servers at a steady pace, whatever their
// number of heartbeats.
class RegistryDuty {
public:
    RegistryDuty(platform::StoreClient&, BackendDirectory&);

    awaitable<void> run();

private:
    awaitable<bool> readOnce();

    platform::StoreClient& m_store;
    BackendDirectory& m_directory;
    bool m_whole = true;
    bool m_reachable = true;
};

} // namespace almondscale
