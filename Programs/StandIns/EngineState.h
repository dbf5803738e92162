#pragma once

#include "Core/EngineRole.h"
#include "Core/FencingToken.h"
#include "Core/ModelName.h"
#include "Core/OrderNumber.h"

#include <cstdint>
#include <string>

namespace almondscale::standin {

// What an engine is and does right now.
struct EngineState {
    std::uint64_t boot = 0;
    EngineRole role = EngineRole::Mixed;
    ModelName model;
    std::string adapter;
    std::string version;
    // The last order carried out since the start.
    OrderNumber order;
    // The highest fencing number seen since the start.
    FencingToken fencing;
    std::int64_t inFlight = 0;
    // Whether an order is being carried out.
    bool closing = false;
};

} // namespace almondscale::standin
