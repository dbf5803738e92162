#pragma once

#include "Core/MonotonicTime.h"
#include "Core/ServiceName.h"
#include "Serving/EngineDemand.h"
#include "Serving/EngineSpeedModel.h"
#include "Serving/PromptShape.h"

#include <map>

namespace almondscale {

// Measures the work that callers bring to the engines of each service, as an
// average that forgets with a fixed time constant.
class DemandMeter {
public:
    explicit DemandMeter(EngineSpeedModel = {});

    void onRequest(const ServiceName&, const PromptShape&, MonotonicTime now);
    std::map<ServiceName, EngineDemand> demand(MonotonicTime now) const;

private:
    struct Average {
        EngineDemand demand;
        MonotonicTime at {};
    };

    EngineSpeedModel m_speed;
    std::map<ServiceName, Average> m_averages;
};

} // namespace almondscale
