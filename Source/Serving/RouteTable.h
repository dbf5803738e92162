#pragma once

#include "Serving/Manifest.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace almondscale {

// The manifest in force and the look-up of routes in it. A manifest only ever
// gives way to one with a higher version.
class RouteTable {
public:
    RouteTable();

    // Whether the manifest was newer and is in force now.
    bool adopt(Manifest);

    // 0 before the first manifest.
    std::int64_t version() const { return m_manifest->version; }
    bool empty() const { return m_manifest->version == 0; }
    std::shared_ptr<const Manifest> manifest() const { return m_manifest; }

    // The route with the longest prefix of the path, or null. The host may carry a port.
    std::shared_ptr<const Route> find(const std::string& host, const std::string& target) const;
    // What is known of the service, or null.
    const ServiceSpec* service(const ServiceName&) const;

private:
    std::shared_ptr<const Manifest> m_manifest;
    // By host and prefix, since there can be hundreds of routes.
    std::unordered_map<std::string, std::shared_ptr<const Route>> m_routes;
};

// The service for a request, drawn by weight; the same draw gives the same service.
const ServiceName& drawService(const Route&, std::uint64_t draw);

} // namespace almondscale
