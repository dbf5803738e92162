#pragma once

#include "Roles/RoleCounts.h"
#include "Shift/Arrival.h"
#include "Shift/Fleet.h"
#include "Shift/PoolPolicy.h"
#include "Shift/PoolResult.h"
#include "Shift/ShiftFault.h"

#include <memory>

namespace almondscale {

// What a pool is run with.
struct PoolRunSetup {
    Fleet fleet;
    RoleCounts initialRoles;
    PoolPolicyMaker policy;
    ShiftFault fault = ShiftFault::None;
    // The time of the last arrival's segment end.
    Nanoseconds length {};
    std::uint64_t seed = 1;
};

// Runs the requests of one pool through modelled engines under a fake clock.
class PoolRun {
public:
    PoolRun(const PoolRunSetup&, const PoolArrivals&);
    ~PoolRun();

    PoolResult run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
