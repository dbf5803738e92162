#pragma once

#include "Serving/Manifest.h"
#include "Serving/Organisations.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace almondscale {

// The manifest in force and the lookup of its routes. A manifest is replaced only by one with a higher
// version.
class RouteTable {
public:
    RouteTable();

    // Returns whether the manifest was newer and has been adopted.
    bool adopt(Manifest);

    // 0 before the first manifest.
    std::int64_t version() const { return m_manifest->version; }
    bool empty() const { return m_manifest->version == 0; }
    std::shared_ptr<const Manifest> manifest() const { return m_manifest; }

    // The organisations of the manifest; null if callers have no keys.
    const Organisations* organisations() const { return m_organisations.get(); }
    // The route with the longest matching path prefix, or null. The host may include a port.
    std::shared_ptr<const Route> find(const std::string& host, const std::string& target) const;
    // The service's specification, or null if unknown.
    const ServiceSpec* service(const ServiceName&) const;

private:
    std::shared_ptr<const Manifest> m_manifest;
    std::shared_ptr<const Organisations> m_organisations;
    // By host and path prefix, since there can be hundreds of routes.
    std::unordered_map<std::string, std::shared_ptr<const Route>> m_routes;
};

// Chooses a service by weight; the same draw gives the same service.
const ServiceName& drawService(const Route&, std::uint64_t draw);

} // namespace almondscale
