#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/ModelName.h"
#include "Routing/EngineAvailability.h"
#include "Routing/EngineSpeed.h"

namespace almondscale {

// This host's view of one engine, without its load.
struct EngineView {
    EngineId id;
    ModelName model;
    DataCentre dataCentre;
    EngineRole role = EngineRole::Mixed;
    Address address;
    EngineAvailability state = EngineAvailability::Unknown;
    // Whether this host can connect to the engine.
    bool reachable = true;
    EngineSpeed speed;
};

} // namespace almondscale
