#include "Serving/DemandMeter.h"

#include <cmath>

namespace almondscale {

namespace {

    // Follows a change of the mix within a few seconds and passes over single long prompts.
    constexpr double forgetAfterSeconds = 4;

    double kept(MonotonicTime from, MonotonicTime to)
    {
        return std::exp(-std::chrono::duration<double>(to - from).count() / forgetAfterSeconds);
    }

} // namespace

DemandMeter::DemandMeter(EngineSpeedModel speed)
    : m_speed(speed)
{
}

void DemandMeter::onRequest(const ServiceName& service, const PromptShape& prompt, MonotonicTime now)
{
    auto& average = m_averages[service];
    average.demand *= kept(average.at, now);
    average.at = now;
    average.demand.prefillMs += m_speed.prefillMs(prompt.prompt, prompt.shared) / forgetAfterSeconds;
    average.demand.requests += 1 / forgetAfterSeconds;
    average.demand.contextTokens += static_cast<double>(prompt.prompt.count()) / forgetAfterSeconds;
}

std::map<ServiceName, EngineDemand> DemandMeter::demand(MonotonicTime now) const
{
    std::map<ServiceName, EngineDemand> all;
    for (const auto& entry : m_averages) {
        auto demand = entry.second.demand;
        all[entry.first] = demand *= kept(entry.second.at, now);
    }
    return all;
}

} // namespace almondscale
