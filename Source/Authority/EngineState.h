#pragma once

#include "Authority/EngineOrder.h"

#include <cstdint>
#include <string>

namespace almondscale {

// What an engine says of itself when asked; exact, unlike its load reports.
struct EngineState {
    // New at each start of the engine.
    std::uint64_t boot = 0;
    std::string role;
    std::string model;
    std::string adapter;
    std::string version;
    // The last order that was carried out since the start.
    OrderNumber order;
    FencingToken fencing;
    int inFlight = 0;

    // The value that orders of this kind set.
    const std::string& valueOf(OrderKind) const;
};

} // namespace almondscale
