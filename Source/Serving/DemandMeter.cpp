#include "Serving/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    // Follows a change of the traffic mix within a few seconds and smooths single long prompts.
    constexpr double timeConstantSeconds = 4;

    // A shorter observation, as a share of the full weight, is too little to extrapolate from.
    constexpr double minElapsedShare = 0.5;

    double decay(MonotonicTime from, MonotonicTime to)
    {
        return std::exp(-std::chrono::duration<double>(to - from).count() / timeConstantSeconds);
    }

} // namespace

EngineDemand& DemandMeter::average(const ServiceName& service, MonotonicTime now)
{
    auto& average = m_averages.emplace(service, Average { {}, now, now }).first->second;
    average.demand *= decay(average.at, now);
    average.at = now;
    return average.demand;
}

void DemandMeter::onRequest(const ServiceName& service, const PromptShape& prompt, double prefillMs,
    double decodeMs, MonotonicTime now)
{
    auto& demand = average(service, now);
    demand.prefillMs += prefillMs / timeConstantSeconds;
    demand.decodeMs += decodeMs / timeConstantSeconds;
    demand.requests += 1 / timeConstantSeconds;
    demand.contextTokens += static_cast<double>(prompt.tokens.count()) / timeConstantSeconds;
}

void DemandMeter::addWork(const ServiceName& service, double prefillMs, double decodeMs, MonotonicTime now)
{
    auto& demand = average(service, now);
    demand.prefillMs += prefillMs / timeConstantSeconds;
    demand.decodeMs += decodeMs / timeConstantSeconds;
}

std::map<ServiceName, EngineDemand> DemandMeter::demand(MonotonicTime now) const
{
    std::map<ServiceName, EngineDemand> all;
    for (const auto& entry : m_averages) {
        // Corrects for services observed for less than the averaging time.
        const double elapsedShare = std::max(minElapsedShare, 1 - decay(entry.second.startedAt, now));
        auto demand = entry.second.demand;
        all[entry.first] = demand *= decay(entry.second.at, now) / elapsedShare;
    }
    return all;
}

} // namespace almondscale
