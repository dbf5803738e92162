#include "Shift/ShiftRun.h"

#include "Roles/RoleCapacity.h"
#include "Shift/ClairvoyantBound.h"
#include "Shift/PoolRun.h"

#include <cmath>
#include <utility>

namespace almondscale {

namespace {

    PoolPolicyMaker makerOf(const std::string& policy)
    {
        if (policy == "almondscale")
            return makeAlmondscalePolicy;
        if (policy == "fixed")
            return makeFixedPolicy;
        if (policy == "threshold")
            return makeThresholdPolicy;
        return {};
    }

} // namespace

ShiftRun::ShiftRun(Mix mix, Fleet fleet, std::uint64_t seed, ShiftFault fault)
    : m_mix(std::move(mix))
    , m_fleet(std::move(fleet))
    , m_seed(seed)
    , m_fault(fault)
    , m_pools(drawArrivals(m_mix, m_fleet, seed))
{
}

const std::vector<std::string>& ShiftRun::policies()
{
    static const std::vector<std::string> names { "clairvoyant", "almondscale", "fixed", "threshold" };
    return names;
}

// The roles that an operator would set who knows the mean of the mix over time.
RoleCounts ShiftRun::initialRoles(const PoolArrivals& pool) const
{
    Demand mean;
    double time = 0;
    double requests = 0;
    for (const auto& segment : m_mix.segments) {
        if (segment.model != pool.model)
            continue;
        const double length = std::chrono::duration<double>(segment.length).count();
        const auto demand = segmentDemand(segment);
        const double count = length * demand.requestsPerSecond;
        time += length;
        requests += count;
        mean.prefillTokens += count * demand.prefillTokens;
        mean.decodeTokens += count * demand.decodeTokens;
        mean.contextTokens += count * demand.contextTokens;
    }
    if (requests > 0) {
        mean.prefillTokens /= requests;
        mean.decodeTokens /= requests;
        mean.contextTokens /= requests;
        mean.requestsPerSecond = requests / time;
    }
    return RoleCapacity(m_fleet.speeds).best(pool.engines, mean);
}

PoolResult ShiftRun::runPools(const PoolPolicyMaker& policy) const
{
    PoolResult sum;
    for (const auto& pool : m_pools) {
        PoolRunSetup setup;
        setup.fleet = m_fleet;
        setup.initialRoles = initialRoles(pool);
        setup.policy = policy;
        setup.fault = m_fault;
        setup.length = m_mix.length();
        setup.seed = m_seed;
        sum.add(PoolRun(setup, pool).run());
    }
    return sum;
}

PoolResult ShiftRun::bound() const
{
    PoolResult sum;
    double complete = 0;
    int changes = 0;
    for (const auto& pool : m_pools) {
        const auto result = clairvoyantBound(m_mix, m_fleet, pool, initialRoles(pool));
        complete += result.completeInTime;
        changes += result.roleChanges;
        sum.offered += static_cast<std::int64_t>(pool.arrivals.size());
    }
    sum.completeInTime = std::min(sum.offered, static_cast<std::int64_t>(std::ceil(complete)));
    sum.refused = sum.offered - sum.completeInTime;
    sum.roleChanges.resize(static_cast<std::size_t>(changes));
    return sum;
}

std::optional<ShiftOutcome> ShiftRun::run(const std::string& policy) const
{
    ShiftOutcome outcome;
    outcome.policy = policy;
    outcome.seed = m_seed;
    outcome.seconds = std::chrono::duration<double>(m_mix.length()).count();
    outcome.isBound = policy == "clairvoyant";
    if (outcome.isBound) {
        outcome.result = bound();
        return outcome;
    }
    const auto maker = makerOf(policy);
    if (!maker)
        return std::nullopt;
    outcome.result = runPools(maker);
    return outcome;
}

} // namespace almondscale
