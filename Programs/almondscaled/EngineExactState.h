#pragma once

#include "Core/Address.h"
#include "Core/Deadline.h"
#include "Core/EngineRole.h"
#include "Core/FencingNumber.h"
#include "Core/OrderNumber.h"

#include <cstdint>

namespace almondscale {

// What an engine says about itself when it is asked, without lag.
struct EngineExactState {
    bool reached = false;
    // No connection could be made, so no process listens there.
    bool refused = false;
    std::uint64_t boot = 0;
    int inFlight = 0;
    EngineRole role = EngineRole::Mixed;
    OrderNumber order;
    FencingNumber fencing;
    bool closing = false;
};

EngineExactState engineState(const Address&, Deadline);

} // namespace almondscale
