#pragma once

#include "Core/DataCentre.h"
#include "Core/EngineRole.h"
#include "Serving/EngineDemand.h"

#include <set>
#include <vector>

namespace almondscale {

// A registered server of a pool.
struct PoolServer {
    DataCentre dataCentre;
    bool spot = false;
    EngineRole role = EngineRole::Decode;
    bool leaving = false;
};

// What is known of the pool of a service at one time.
struct PoolView {
    std::set<DataCentre> dataCentres;
    std::vector<PoolServer> servers;
    // Of one engine.
    double slots = 1;
    // Of all hosts together.
    EngineDemand demand;
    // Learned fixed time of one prefill.
    double requestMs = 0;
    // The shortest target for a first event among the routes of the service; 0 if it has none.
    double targetMs = 0;
};

} // namespace almondscale
