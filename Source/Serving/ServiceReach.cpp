#include "Serving/ServiceReach.h"

#include <map>
#include <utility>

namespace almondscale {

namespace {

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

std::vector<const Backend*> ServiceReach::missing() const
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
