#pragma once

#include "Core/EngineRole.h"
#include "Serving/BackendTable.h"
#include "Serving/EngineDemand.h"

#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// Bounds of the split of a service's engines between prefill and decode.
struct RoleSplitOptions {
    // Part of the engines that decode while no demand is known: long prompts and
    // short answers need few.
    double decodeShare = 0.22;
    // A surplus or a lack has to last this long before it is worth an order, so that
    // an engine that restarts is not replaced.
    Nanoseconds dwell = std::chrono::seconds(2);
    // Time after an order in which no other follows, but for those before any traffic.
    Nanoseconds pause = std::chrono::seconds(5);
    // An order without effect is given up after this.
    Nanoseconds orderTime = std::chrono::seconds(9);
};

// One engine that is to change its role.
struct RoleAssignment {
    BackendId engine;
    EngineRole role = EngineRole::Decode;
};

// Decides how many engines of each service prefill and how many decode, and which
// engine changes next. It answers a fleet that starts with too few prefill engines
// for its prompts, and engines that come back with another role than they had.
class RoleSplit {
public:
    explicit RoleSplit(const BackendTable&, RoleSplitOptions = {});

    // The orders to give now.
    std::vector<RoleAssignment> decide(const ServiceName&, const EngineDemand&, MonotonicTime now);
    // An order was sent, whatever came of it.
    void onOrdered(const RoleAssignment&, MonotonicTime now);
    // The engine refused it.
    void onRefused(const BackendId&);

    // Engines that should decode out of so many.
    int decodeTarget(int engines) const;

private:
    struct Order {
        EngineRole role = EngineRole::Decode;
        MonotonicTime at {};
    };

    const BackendTable& m_backends;
    RoleSplitOptions m_options;
    std::map<BackendId, Order> m_orders;
    // Since when each service has had another split than it should.
    std::map<ServiceName, MonotonicTime> m_wrongSince;
    MonotonicTime m_lastOrderAt {};
};

} // namespace almondscale
