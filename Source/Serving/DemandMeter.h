#pragma once

#include "Core/MonotonicTime.h"
#include "Core/ServiceName.h"
#include "Serving/EngineDemand.h"
#include "Serving/PromptShape.h"

#include <map>

namespace almondscale {

// Measures the demand on the engines of each service as an exponential moving average.
class DemandMeter {
public:
    // Adds a request with its expected prefill and decode time in milliseconds.
    void onRequest(
        const ServiceName&, const PromptShape&, double prefillMs, double decodeMs, MonotonicTime now);
    // Adds work, in milliseconds per role, that a request turned out to cause beyond the estimate; negative
    // if less.
    void addWork(const ServiceName&, double prefillMs, double decodeMs, MonotonicTime now);
    std::map<ServiceName, EngineDemand> demand(MonotonicTime now) const;

private:
    // The average, decayed to the given time.
    EngineDemand& average(const ServiceName&, MonotonicTime now);

    struct Average {
        EngineDemand demand;
        MonotonicTime at {};
        MonotonicTime startedAt {};
    };

    std::map<ServiceName, Average> m_averages;
};

} // namespace almondscale
