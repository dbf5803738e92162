#pragma once

#include "Core/MonotonicTime.h"
#include "Core/ServiceName.h"
#include "Serving/EngineDemand.h"
#include "Serving/PromptShape.h"

#include <map>

namespace almondscale {

// Measures the work that callers bring to the engines of each service, as an
// average that forgets with a fixed time constant.
class DemandMeter {
public:
    // A request whose prefill and decoding are expected to take so long.
    void onRequest(
        const ServiceName&, const PromptShape&, double prefillMs, double decodeMs, MonotonicTime now);
    // A request turned out to bring so much more to the engines of each role.
    void addWork(const ServiceName&, double prefillMs, double decodeMs, MonotonicTime now);
    std::map<ServiceName, EngineDemand> demand(MonotonicTime now) const;

private:
    // The average at this moment.
    EngineDemand& average(const ServiceName&, MonotonicTime now);

    struct Average {
        EngineDemand demand;
        MonotonicTime at {};
        MonotonicTime startedAt {};
    };

    std::map<ServiceName, Average> m_averages;
};

} // namespace almondscale
