#pragma once

#include "Core/ByteCount.h"
#include "Serving/EngineSpec.h"
#include "Serving/OrganisationSpec.h"
#include "Serving/PoolSpec.h"
#include "Serving/Route.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// Properties shared by all backend servers of a service.
struct ServiceSpec {
    ServiceName name;
    // Connections that one server accepts from all hosts together.
    int maxConnections = 0;
    // Set for services whose servers are engines.
    std::optional<EngineSpec> engine;
    // Set for services whose number of servers can be ordered.
    std::optional<PoolSpec> pool = {};
};

// Limits on callers' requests and connections.
struct CallerLimits {
    ByteCount maxHeader { 16 << 10 };
    ByteCount maxBody { 4 << 20 };
    Nanoseconds headerTimeout = std::chrono::seconds(3);
    Nanoseconds idleTimeout = std::chrono::seconds(15);
};

// The complete configuration set by the operators.
struct Manifest {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServiceSpec> services;
    CallerLimits limits;
    // Unset if callers have no keys.
    std::optional<std::vector<OrganisationSpec>> organisations;
};

} // namespace almondscale
