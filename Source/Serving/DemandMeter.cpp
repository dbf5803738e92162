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

EngineDemand& DemandMeter::average(const ServiceName& service, MonotonicTime now)
{
    auto& average = m_averages[service];
    average.demand *= kept(average.at, now);
    average.at = now;
    return average.demand;
}

void DemandMeter::onRequest(const ServiceName& service, const PromptShape& prompt, double prefillMs,
    double decodeMs, MonotonicTime now)
{
    auto& demand = average(service, now);
    demand.prefillMs += prefillMs / forgetAfterSeconds;
    demand.decodeMs += decodeMs / forgetAfterSeconds;
    demand.requests += 1 / forgetAfterSeconds;
    demand.contextTokens += static_cast<double>(prompt.prompt.count()) / forgetAfterSeconds;
}

void DemandMeter::onReread(const ServiceName& service, double prefillMs, MonotonicTime now)
{
    average(service, now).prefillMs += prefillMs / forgetAfterSeconds;
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
