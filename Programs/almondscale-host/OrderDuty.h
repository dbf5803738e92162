#pragma once

#include "Authority/Lease.h"
#include "Serving/DemandMeter.h"
#include "Serving/RoleSplit.h"
#include "Serving/RouteTable.h"
#include "platform/OrderCodec.h"
#include "platform/StoreClient.h"

namespace almondscale {

// Competes for the lease of orders and, while this host holds it, gives the
// engines the roles that the split wants.
class OrderDuty {
public:
    OrderDuty(platform::StoreClient&, ConnectionPool&, const RouteTable&, const BackendTable&,
        const DemandMeter&, HostId, Nanoseconds lease);

    awaitable<void> run();
    // Gives the lease up; no order follows.
    void release();

private:
    awaitable<void> giveOrders();
    awaitable<void> order(RoleAssignment);
    awaitable<std::optional<platform::EngineReport>> readReport(BackendId, Address, Deadline);
    void noteHolding();

    platform::StoreClient& m_store;
    ConnectionPool& m_pool;
    const RouteTable& m_routes;
    const BackendTable& m_backends;
    const DemandMeter& m_demand;
    HostId m_host;
    Lease m_lease;
    RoleSplit m_split;
    bool m_holding = false;
};

} // namespace almondscale
