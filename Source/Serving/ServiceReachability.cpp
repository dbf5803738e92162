#include "Serving/ServiceReachability.h"

#include <map>
#include <utility>

namespace almondscale {

namespace {

    // A single unreachable server does not mean that its data centre is.
    constexpr int minConnectFailures = 2;

    // The servers of a service that can decode.
    struct ServiceServers {
        std::vector<const Backend*> unreachable;
        bool reachable = false;
    };

} // namespace

ServiceReachability::ServiceReachability(const BackendTable& backends, DataCentre dataCentre)
    : m_backends(backends)
    , m_dataCentre(std::move(dataCentre))
{
}

bool ServiceReachability::isPartitioned() const
{
    std::map<DataCentre, int> sizes;
    for (const auto& entry : m_backends.all())
        ++sizes[entry.second.record.dataCentre];
    const int own = sizes[m_dataCentre];
    bool larger = false;
    for (const auto& [dataCentre, servers] : sizes) {
        if (dataCentre == m_dataCentre)
            continue;
        if (m_backends.consecutiveConnectFailures(dataCentre) < minConnectFailures)
            return false;
        larger = larger || servers > own || (servers == own && dataCentre < m_dataCentre);
    }
    return larger;
}

std::vector<const Backend*> ServiceReachability::unreachableServers() const
{
    return isPartitioned() ? remoteServers() : serversOfUnservedServices();
}

// Includes servers that are not marked unreachable: the first successful connection ends the partition.
std::vector<const Backend*> ServiceReachability::remoteServers() const
{
    std::vector<const Backend*> servers;
    for (const auto& entry : m_backends.all()) {
        if (!entry.second.record.draining && entry.second.record.dataCentre != m_dataCentre)
            servers.push_back(&entry.second);
    }
    return servers;
}

std::vector<const Backend*> ServiceReachability::serversOfUnservedServices() const
{
    std::map<ServiceName, ServiceServers> services;
    for (const auto& entry : m_backends.all()) {
        const auto& backend = entry.second;
        // A decode engine can prefill too, but not the other way round.
        if (backend.record.draining || backend.record.role == EngineRole::Prefill)
            continue;
        auto& servers = services[backend.record.service];
        if (backend.record.dataCentre == m_dataCentre || !backend.unreachable)
            servers.reachable = true;
        else
            servers.unreachable.push_back(&backend);
    }
    std::vector<const Backend*> all;
    for (const auto& entry : services) {
        if (!entry.second.reachable)
            all.insert(all.end(), entry.second.unreachable.begin(), entry.second.unreachable.end());
    }
    return all;
}

} // namespace almondscale
