#pragma once

#include "Serving/RouteTable.h"
#include "platform/StoreClient.h"

namespace almondscale {

// Keeps the newest manifest in force: waits at the store for the next one.
class ManifestDuty {
public:
    ManifestDuty(platform::StoreClient&, RouteTable&);

    awaitable<void> run();

private:
    awaitable<bool> readOnce();
    void adopt(const platform::ManifestReading&);

    platform::StoreClient& m_store;
    RouteTable& m_routes;
    // The version of the store after which the next change is asked for; 0 for a whole reading.
    RowVersion m_after;
    bool m_reachable = true;
};

} // namespace almondscale
