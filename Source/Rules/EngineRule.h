#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/ModelName.h"

namespace almondscale {

// An `engine` rule: declares one engine.
struct EngineRule {
    EngineId engine;
    ModelName model;
    DataCentre dataCentre;
    Address address;
    // The initial role; the lease holder may change it.
    EngineRole role = EngineRole::Mixed;
    // Whether the engine rejects orders with a stale fencing number.
    bool checksFencing = false;
};

} // namespace almondscale
