#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/ModelName.h"
#include "Routing/EngineAvailability.h"
#include "Routing/EngineSpeed.h"

namespace almondscale {

// What this host believes about one engine, apart from its load.
struct EngineView {
    EngineId id;
    ModelName model;
    DataCentre dataCentre;
    EngineRole role = EngineRole::Mixed;
    Address address;
    EngineAvailability state = EngineAvailability::Unknown;
    // Whether this host can open connections to it.
    bool reachable = true;
    EngineSpeed speed;
};

} // namespace almondscale
