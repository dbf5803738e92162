#include "Roles/RoleCapacity.h"

#include <algorithm>
#include <limits>

namespace almondscale {

namespace {

    constexpr int bisectionSteps = 24;
    // The relative gain in throughput required to prefer an assignment with fewer mixed engines.
    constexpr double minRelativeGain = 0.01;

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    double rateOf(int engines, double secondsEach)
    {
        return secondsEach > 0 ? engines / secondsEach : std::numeric_limits<double>::max();
    }

} // namespace

RoleCapacity::RoleCapacity(const EngineProfile& profile)
    : m_profile(profile)
{
}

double RoleCapacity::batchSlots(const Demand& demand) const
{
    const double perBlock = static_cast<double>(m_profile.tokensPerBlock.count());
    const double blocksEach = std::max(1.0, demand.contextTokens / perBlock);
    const double byMemory = static_cast<double>(m_profile.blocks.count()) / blocksEach;
    return std::clamp(byMemory, 1.0, static_cast<double>(m_profile.decodeSlots));
}

double RoleCapacity::prefillSeconds(const Demand& demand) const
{
    const double steps = demand.prefillTokens / static_cast<double>(m_profile.prefillChunk.count());
    return demand.prefillTokens * seconds(m_profile.perPrefillToken) + steps * seconds(m_profile.stepBase);
}

double RoleCapacity::decodeSeconds(const Demand& demand) const
{
    const double stepShare = seconds(m_profile.stepBase) / batchSlots(demand);
    return demand.decodeTokens * (stepShare + seconds(m_profile.perDecodeSlot));
}

double RoleCapacity::mixedEnginesNeeded(double prefillRate, double decodeRate, const Demand& demand) const
{
    const double work = prefillRate * demand.prefillTokens * seconds(m_profile.perPrefillToken)
        + decodeRate * demand.decodeTokens * seconds(m_profile.perDecodeSlot);
    const double chunk = static_cast<double>(m_profile.mixedChunk.count());
    // Each step processes a prefill chunk and a decode batch together.
    const double steps = std::max(
        prefillRate * demand.prefillTokens / chunk, decodeRate * demand.decodeTokens / batchSlots(demand));
    return work + steps * seconds(m_profile.stepBase);
}

double RoleCapacity::answersPerSecond(const RoleCounts& counts, const Demand& demand) const
{
    const double prefillRate = rateOf(counts.prefill, prefillSeconds(demand));
    const double decodeRate = rateOf(counts.decode, decodeSeconds(demand));
    double low = std::min(prefillRate, decodeRate);
    if (counts.mixed == 0)
        return low;
    double high = low + rateOf(counts.mixed, mixedEnginesNeeded(0, 1, demand))
        + rateOf(counts.mixed, mixedEnginesNeeded(1, 0, demand));
    for (int i = 0; i < bisectionSteps; ++i) {
        const double rate = (low + high) / 2;
        const double needed
            = mixedEnginesNeeded(std::max(0.0, rate - prefillRate), std::max(0.0, rate - decodeRate), demand);
        (needed <= counts.mixed ? low : high) = rate;
    }
    return low;
}

RoleCounts RoleCapacity::best(int engines, const Demand& demand) const
{
    RoleCounts best { 0, 0, engines };
    double bestRate = answersPerSecond(best, demand);
    for (const auto& counts : allRoleCounts(engines)) {
        const double rate = answersPerSecond(counts, demand);
        const double threshold = counts.mixed >= best.mixed ? bestRate : bestRate * (1 + minRelativeGain);
        if (rate <= threshold)
            continue;
        best = counts;
        bestRate = rate;
    }
    return best;
}

} // namespace almondscale
