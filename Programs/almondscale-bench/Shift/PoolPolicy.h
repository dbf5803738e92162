#pragma once

#include "Core/HostId.h"
#include "Roles/DemandReport.h"
#include "Roles/EngineProfile.h"
#include "Roles/EngineStatus.h"
#include "Roles/RoleChange.h"

#include <functional>
#include <vector>

namespace almondscale {

// What decides the roles of one pool in a run.
struct PoolPolicy {
    std::function<void(const HostId&, const DemandReport&, MonotonicTime now)> onDemand;
    std::function<void(const std::vector<EngineStatus>&, MonotonicTime now)> onEngines;
    std::function<std::vector<RoleChange>(MonotonicTime now)> decide;
};

// What a policy is told when it is made.
struct PoolPolicySetup {
    EngineProfile speeds;
    Nanoseconds roleChange {};
    int engines = 0;
};

using PoolPolicyMaker = std::function<PoolPolicy(const PoolPolicySetup&)>;

// Never changes a role.
PoolPolicy makeFixedPolicy(const PoolPolicySetup&);

// Changes one engine whenever the present share of prefill work is out of line with the roles.
PoolPolicy makeThresholdPolicy(const PoolPolicySetup&);

// The role policy of the product.
PoolPolicy makeAlmondscalePolicy(const PoolPolicySetup&);

} // namespace almondscale
