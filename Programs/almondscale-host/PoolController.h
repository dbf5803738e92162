#pragma once

#include "DutyCalls.h"
#include "Serving/BackendTable.h"
#include "Serving/PoolSizer.h"
#include "Serving/RouteTable.h"

#include <functional>
#include <map>
#include <set>

namespace almondscale {

// While this host holds the lease, orders the servers that PoolSizer decides on from the platform.
class PoolController {
public:
    struct Hooks {
        // The demand of each service, summed over all hosts.
        std::function<std::map<ServiceName, EngineDemand>()> demand;
        // Learned fixed time of one prefill in milliseconds.
        std::function<double(const ServiceName&)> requestMs;
        // Whether the registrations are known.
        std::function<bool()> knowsServers;
        // Servers of one kind that are wanted and registered.
        std::function<void(const PoolOrder& wanted, int registered)> onPool;
        // This host no longer orders servers.
        std::function<void()> onEnd;
    };

    PoolController(boost::asio::any_io_executor, DutyCalls&, const DutyLease&, const RouteTable&,
        const BackendTable&, std::set<DataCentre>, Hooks);

    // Does not return.
    awaitable<void> run();
    // The changes of the service's pool to be expected; unset if this host does not order its servers.
    std::optional<PoolOutlook> outlook(const ServiceName&) const;

private:
    void sizePools();
    PoolView view(const ServiceName&, const EngineDemand&) const;
    double targetMs(const ServiceName&) const;
    void report(const ServiceName&, const PoolSizer&) const;
    awaitable<void> send(PoolDecision);

    boost::asio::any_io_executor m_executor;
    DutyCalls& m_calls;
    const DutyLease& m_lease;
    const RouteTable& m_routes;
    const BackendTable& m_backends;
    std::set<DataCentre> m_dataCentres;
    Hooks m_hooks;
    std::map<ServiceName, PoolSizer> m_sizers;
    // Lease under which the sizers were created. A later one starts from what is registered.
    FencingToken m_fencing {};
};

} // namespace almondscale
