#pragma once

#include "Authority/Lease.h"
#include "Serving/RoleSplit.h"
#include "Serving/RouteTable.h"
#include "platform/OrderCodec.h"
#include "platform/StoreClient.h"

#include <functional>

namespace almondscale {

// Competes for the lease on role orders and, while this host holds it, orders the engines to
// take the roles that RoleSplit decides on.
class RoleController {
public:
    struct Hooks {
        // Whether this host competes for the lease. Few hosts do, since each polls it often.
        std::function<bool()> isCandidate;
        // The demand of each service, summed over all hosts.
        std::function<std::map<ServiceName, EngineDemand>()> demand;
        // An engine is about to be ordered to change its role; every host is told, so that
        // none sends it more requests.
        std::function<void(const RoleTransition&)> onTurn;
        // An engine announced in a response that it is leaving.
        std::function<void(const BackendId&)> onLeaving;
    };

    RoleController(platform::StoreClient&, ConnectionPool&, const RouteTable&, const BackendTable&, HostId,
        Nanoseconds lease, Hooks);

    awaitable<void> run();
    // Releases the lease; no order is sent afterwards.
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
