#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/ModelName.h"

namespace almondscale {

// The rule that names one engine.
struct EngineRule {
    EngineId engine;
    ModelName model;
    DataCentre dataCentre;
    Address address;
    // The role the engine has until the lease holder decides otherwise.
    EngineRole role = EngineRole::Mixed;
    // Whether the engine refuses an order with an old fencing number.
    bool checksFencing = false;
};

} // namespace almondscale
