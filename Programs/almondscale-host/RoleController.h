#pragma once

#include "Authority/Lease.h"
#include "Serving/RoleSplit.h"
#include "Serving/RouteTable.h"
#include "platform/OrderCodec.h"
#include "platform/StoreClient.h"

#include <functional>

namespace almondscale {

// Competes for the lease of orders and, while this host holds it, gives the
// engines the roles that the split wants.
class RoleController {
public:
    struct Hooks {
        // Whether this host competes for the lease; few do, since each looks at it often.
        std::function<bool()> isCandidate;
        // The demand at all hosts.
        std::function<std::map<ServiceName, EngineDemand>()> demand;
        // An engine is about to be turned; every host is told, so that none sends it more.
        std::function<void(const RoleTurn&)> onTurn;
        // Told of an engine that says in an answer that it leaves.
        std::function<void(const BackendId&)> onLeaving;
    };

    RoleController(platform::StoreClient&, ConnectionPool&, const RouteTable&, const BackendTable&, HostId,
        Nanoseconds lease, Hooks);

    awaitable<void> run();
    // Gives the lease up; no order follows.
    void release();

    const Lease& lease() const { return m_lease; }

private:
    awaitable<void> reassignRoles();
    void announceRoleChange(const RoleAssignment&, Nanoseconds roleChange);
    awaitable<void> sendOrder(RoleAssignment);
    void logLeaseChange();

    platform::StoreClient& m_store;
    ConnectionPool& m_pool;
    const RouteTable& m_routes;
    const BackendTable& m_backends;
    HostId m_host;
    Lease m_lease;
    RoleSplit m_split;
    Hooks m_hooks;
    bool m_holding = false;
    bool m_releasing = false;
};

} // namespace almondscale
