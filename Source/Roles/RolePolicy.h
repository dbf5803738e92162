#pragma once

#include "Core/HostId.h"
#include "Roles/DemandReport.h"
#include "Roles/EngineStatus.h"
#include "Roles/RoleChange.h"
#include "Roles/RoleHooks.h"
#include "Roles/RoleSettings.h"

#include <memory>
#include <vector>

namespace almondscale {

// Decides which engines of a pool change role. A pool is the set of engines of one model in one
// data centre. The holder of the pool's lease runs the policy. A new holder starts with an empty
// policy and orders no changes until it has received reports.
class RolePolicy {
public:
    RolePolicy(const RoleSettings&, RoleHooks);
    ~RolePolicy();
    RolePolicy(RolePolicy&&) noexcept;
    RolePolicy& operator=(RolePolicy&&) noexcept;

    // Takes a host's demand report, which may be delayed.
    void onDemand(const HostId&, const DemandReport&, MonotonicTime now);

    // Replaces the list of engines of the pool; an engine not in the list is removed.
    void onEngines(std::vector<EngineStatus>, MonotonicTime now);

    // Returns the changes to order now; usually none.
    std::vector<RoleChange> decide(MonotonicTime now);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
