#pragma once

#include "Core/FencingToken.h"
#include "Core/OrderNumber.h"

#include <string>

namespace almondscale::standin {

// An order to change what an engine does.
struct EngineOrder {
    OrderNumber order;
    FencingToken fencing;
    // One of role, load_model, load_adapter and load_version.
    std::string kind;
    std::string value;
};

} // namespace almondscale::standin
