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

// Decides which engines of one pool change role: a pool is the engines of one
// model in one data centre. Run by the holder of the pool's lease; a successor
// starts with an empty policy and orders nothing until it has seen reports.
class RolePolicy {
public:
    RolePolicy(const RoleSettings&, RoleHooks);
    ~RolePolicy();
    RolePolicy(RolePolicy&&) noexcept;
    RolePolicy& operator=(RolePolicy&&) noexcept;

    // A host's report, as late as it comes.
    void onDemand(const HostId&, const DemandReport&, MonotonicTime now);

    // All engines of the pool; one that is missing counts as gone.
    void onEngines(std::vector<EngineStatus>, MonotonicTime now);

    // The changes to order now; most often none.
    std::vector<RoleChange> decide(MonotonicTime now);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
