#pragma once

#include "Authority/EngineOrder.h"

#include <cstdint>
#include <string>

namespace almondscale {

// An engine's answer to a state query. It is exact, unlike the engine's periodic load reports.
struct EngineState {
    // Changes each time the engine starts.
    std::uint64_t boot = 0;
    std::string role;
    std::string model;
    std::string adapter;
    std::string version;
    // The last order executed since the start.
    OrderNumber order;
    FencingToken fencing;
    int inFlight = 0;

    // The value that orders of this kind change.
    const std::string& valueOf(OrderKind) const;
};

} // namespace almondscale
