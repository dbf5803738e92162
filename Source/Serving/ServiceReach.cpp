#include "Serving/ServiceReach.h"

#include <map>
#include <utility>

namespace almondscale {

namespace {

    // A single server that is gone is no sign that its data centre is.
    constexpr int lossesOfCut = 2;

    // The servers that a service cannot do without.
    struct NeededServers {
        std::vector<const Backend*> unreachable;
        bool inReach = false;
    };

} // namespace

ServiceReach::ServiceReach(const BackendTable& backends, DataCentre dataCentre)
    : m_backends(backends)
    , m_dataCentre(std::move(dataCentre))
{
}

bool ServiceReach::cutOff() const
{
    std::map<DataCentre, int> sizes;
    for (const auto& entry : m_backends.all())
        ++sizes[entry.second.record.dataCentre];
    const int own = sizes[m_dataCentre];
    bool larger = false;
    for (const auto& [dataCentre, servers] : sizes) {
        if (dataCentre == m_dataCentre)
            continue;
        if (m_backends.consecutiveConnectFailures(dataCentre) < lossesOfCut)
            return false;
        larger = larger || servers > own || (servers == own && dataCentre < m_dataCentre);
    }
    return larger;
}

std::vector<const Backend*> ServiceReach::missing() const { return cutOff() ? elsewhere() : unserved(); }

// All of them, flagged or not: the first that is reached ends the cut.
std::vector<const Backend*> ServiceReach::elsewhere() const
{
    std::vector<const Backend*> servers;
    for (const auto& entry : m_backends.all()) {
        if (!entry.second.record.draining && entry.second.record.dataCentre != m_dataCentre)
            servers.push_back(&entry.second);
    }
    return servers;
}

std::vector<const Backend*> ServiceReach::unserved() const
{
    std::map<ServiceName, NeededServers> services;
    for (const auto& entry : m_backends.all()) {
        const auto& backend = entry.second;
        // An engine that decodes can prefill too, but not the other way round.
        if (backend.record.draining || backend.record.role == EngineRole::Prefill)
            continue;
        auto& needed = services[backend.record.service];
        if (backend.record.dataCentre == m_dataCentre || !backend.unreachable)
            needed.inReach = true;
        else
            needed.unreachable.push_back(&backend);
    }
    std::vector<const Backend*> all;
    for (const auto& entry : services) {
        if (!entry.second.inReach)
            all.insert(all.end(), entry.second.unreachable.begin(), entry.second.unreachable.end());
    }
    return all;
}

} // namespace almondscale
