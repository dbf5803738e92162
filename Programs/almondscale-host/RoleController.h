#pragma once

#include "DutyLease.h"
#include "Serving/RoleSplit.h"
#include "Serving/RouteTable.h"
#include "platform/OrderCodec.h"

#include <functional>

namespace almondscale {

// While this host holds the lease, orders the engines to take the roles that RoleSplit decides on.
class RoleController {
public:
    struct Hooks {
        // The demand of each service, summed over all hosts.
        std::function<std::map<ServiceName, EngineDemand>()> demand;
        // An engine is about to be ordered to change its role; every host is told, so that
        // none sends it more requests.
        std::function<void(const RoleTransition&)> onTurn;
        // An engine announced in a response that it is leaving.
        std::function<void(const BackendId&)> onLeaving;
        // The changes to be expected in the pool of the service; unset if its servers are not ordered.
        std::function<std::optional<PoolOutlook>(const ServiceName&)> poolOutlook;
        // Learned fixed time of one prefill in milliseconds.
        std::function<double(const ServiceName&)> requestMs;
    };

    RoleController(ConnectionPool&, const DutyLease&, const RouteTable&, const BackendTable&, Hooks);

    // Does not return.
    awaitable<void> run();

private:
    awaitable<void> reassignRoles();
    // The demand that the split is decided for.
    EngineDemand splitDemand(const ServiceName&, const EngineDemand&);
    void announceRoleChange(const RoleAssignment&, Nanoseconds roleChange);
    awaitable<void> sendOrder(RoleAssignment);

    ConnectionPool& m_pool;
    const DutyLease& m_lease;
    const RouteTable& m_routes;
    const BackendTable& m_backends;
    RoleSplit m_split;
    Hooks m_hooks;
};

} // namespace almondscale
