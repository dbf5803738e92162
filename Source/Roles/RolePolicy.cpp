#include "Roles/RolePolicy.h"

#include "Core/Deadline.h"
#include "Roles/CapacityHistory.h"
#include "Roles/GainDuration.h"
#include "Roles/RoleBounds.h"
#include "Roles/RoleCapacity.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace almondscale {

namespace {

    constexpr EngineRole roles[] = { EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode };

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    // The mean of the losses greater than minLoss; 0 if there are none.
    double meanLoss(const std::vector<double>& gains, double minLoss)
    {
        double sum = 0;
        int count = 0;
        for (const double gain : gains) {
            if (gain >= -minLoss)
                continue;
            sum -= gain;
            ++count;
        }
        return count > 0 ? sum / count : 0;
    }

} // namespace

class RolePolicy::Impl {
public:
    Impl(const RoleSettings& settings, RoleHooks hooks)
        : m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_capacity(settings.profile)
        , m_estimate(settings.estimate)
        , m_history(m_capacity)
    {
    }

    void onDemand(const HostId& host, const DemandReport& report, MonotonicTime now)
    {
        m_estimate.onReport(host, report, now);
    }

    void onEngines(std::vector<EngineStatus> engines) { m_engines = std::move(engines); }

    std::vector<RoleChange> decide(MonotonicTime now);

private:
    struct Pool {
        RoleCounts counts;
        // The engines that may be ordered to change.
        std::vector<EngineStatus> ready;
        int changing = 0;
    };

    struct Target {
        RoleCounts counts;
        double gain = 0;
    };

    std::optional<Pool> poolState(MonotonicTime now) const;
    int changesAllowed(const Pool&) const;
    bool reachable(const Pool&, const RoleCounts&) const;
    double answeredPerSecond(const RoleCounts&, const Demand&) const;
    double changeCost(const RoleCounts& from, const RoleCounts& to, const Demand&) const;
    double expectedGain(const RoleCounts& from, const RoleCounts& to, const Demand&) const;
    std::optional<Target> bestTarget(const Pool&, const Demand&, const std::vector<RoleRule>&) const;
    std::vector<RoleChange> nextChanges(const Pool&, const Target&, const Demand&) const;

    RoleSettings m_settings;
    RoleHooks m_hooks;
    RoleCapacity m_capacity;
    DemandEstimate m_estimate;
    CapacityHistory m_history;
    std::vector<EngineStatus> m_engines;
    Deadline m_nextDecision;
};

std::optional<RolePolicy::Impl::Pool> RolePolicy::Impl::poolState(MonotonicTime now) const
{
    Pool pool;
    for (const auto& engine : m_engines) {
        if (engine.readiness == EngineReadiness::Down || engine.readiness == EngineReadiness::Withdrawing)
            continue;
        // The state of an engine that does not report is unknown, so no change is decided.
        if (now - engine.reportedAt > m_settings.maxStatusAge)
            return std::nullopt;
        ++pool.counts.of(engine.role);
        if (engine.readiness == EngineReadiness::Changing)
            ++pool.changing;
        else
            pool.ready.push_back(engine);
    }
    return pool;
}

int RolePolicy::Impl::changesAllowed(const Pool& pool) const
{
    const int most = std::max(1, static_cast<int>(pool.counts.total() * m_settings.maxChangingFraction));
    return most - pool.changing;
}

// Whether the counts can be reached by changing only engines that are ready.
bool RolePolicy::Impl::reachable(const Pool& pool, const RoleCounts& counts) const
{
    RoleCounts ready;
    for (const auto& engine : pool.ready)
        ++ready.of(engine.role);
    for (const auto role : roles) {
        if (counts.of(role) < pool.counts.of(role) - ready.of(role))
            return false;
    }
    return true;
}

double RolePolicy::Impl::answeredPerSecond(const RoleCounts& counts, const Demand& demand) const
{
    const double usable = m_settings.maxUtilisation * m_capacity.answersPerSecond(counts, demand);
    return std::min(demand.requestsPerSecond, usable);
}

// The answers lost while the changing engines serve no requests.
double RolePolicy::Impl::changeCost(const RoleCounts& from, const RoleCounts& to, const Demand& demand) const
{
    RoleCounts rest = from;
    for (const auto role : roles)
        rest.of(role) = std::min(from.of(role), to.of(role));
    const double lost = answeredPerSecond(from, demand) - answeredPerSecond(rest, demand);
    const double minCost = m_settings.minCostFraction * demand.requestsPerSecond * changesBetween(from, to);
    return std::max(lost, minCost) * seconds(m_settings.changeTime);
}

double RolePolicy::Impl::expectedGain(
    const RoleCounts& from, const RoleCounts& to, const Demand& demand) const
{
    const double currentGain = answeredPerSecond(to, demand) - answeredPerSecond(from, demand);
    auto gains = m_history.gains(from, to, m_settings.maxUtilisation);
    const double minGain = m_settings.minGainFraction * demand.requestsPerSecond;
    const double reversalLoss = meanLoss(gains, minGain);
    gains.push_back(currentGain);
    GainDurationSettings durationSettings;
    durationSettings.sampleInterval = m_settings.estimate.averagingWindow;
    durationSettings.minGain = minGain;
    durationSettings.initialDuration = m_settings.initialGainDuration;
    const auto expectedDuration = std::min(expectedGainDuration(gains, durationSettings), m_settings.horizon);
    // If the workload reverts, the new roles reduce throughput until they are changed again.
    const auto reversalDuration = std::min(m_settings.horizon - expectedDuration, m_settings.reversalTime);
    return currentGain * seconds(expectedDuration) - reversalLoss * seconds(reversalDuration)
        - m_settings.minBenefitCostRatio * changeCost(from, to, demand);
}

std::optional<RolePolicy::Impl::Target> RolePolicy::Impl::bestTarget(
    const Pool& pool, const Demand& demand, const std::vector<RoleRule>& rules) const
{
    std::vector<RoleCounts> candidates;
    int leastViolation = std::numeric_limits<int>::max();
    for (const auto& counts : allRoleCounts(pool.counts.total())) {
        if (!reachable(pool, counts))
            continue;
        const int violation = boundsViolation(counts, rules);
        if (violation < leastViolation)
            candidates.clear();
        leastViolation = std::min(leastViolation, violation);
        if (violation == leastViolation)
            candidates.push_back(counts);
    }
    const bool forced = boundsViolation(pool.counts, rules) > leastViolation;
    std::optional<Target> best;
    for (const auto& counts : candidates) {
        if (counts == pool.counts)
            continue;
        const double gain = expectedGain(pool.counts, counts, demand);
        if (!forced && gain <= 0)
            continue;
        if (!best || gain > best->gain)
            best = Target { counts, gain };
    }
    return best;
}

// The next changes towards the target, limited by the number allowed at once.
std::vector<RoleChange> RolePolicy::Impl::nextChanges(
    const Pool& pool, const Target& target, const Demand& demand) const
{
    std::vector<RoleChange> changes;
    auto ready = pool.ready;
    RoleCounts counts = pool.counts;
    for (int left = changesAllowed(pool); left > 0 && counts != target.counts; --left) {
        std::optional<RoleChange> best;
        double bestRate = -1;
        for (const auto& engine : ready) {
            if (counts.of(engine.role) <= target.counts.of(engine.role))
                continue;
            for (const auto role : roles) {
                if (counts.of(role) >= target.counts.of(role))
                    continue;
                RoleCounts next = counts;
                --next.of(engine.role);
                ++next.of(role);
                const double rate = m_capacity.answersPerSecond(next, demand);
                if (rate <= bestRate)
                    continue;
                bestRate = rate;
                best = RoleChange { engine.engine, engine.role, role, target.gain };
            }
        }
        if (!best)
            break;
        --counts.of(best->from);
        ++counts.of(best->to);
        ready.erase(std::remove_if(ready.begin(), ready.end(),
                        [&](const EngineStatus& engine) { return engine.engine == best->engine; }),
            ready.end());
        changes.push_back(*best);
    }
    return changes;
}

std::vector<RoleChange> RolePolicy::Impl::decide(MonotonicTime now)
{
    m_estimate.advance(now);
    const auto demand = m_estimate.current(now);
    if (!demand || demand->requestsPerSecond <= 0 || !m_nextDecision.passed(now))
        return {};
    const auto pool = poolState(now);
    if (!pool || changesAllowed(*pool) <= 0)
        return {};
    m_history.update(m_estimate.samples(), m_estimate.totalSamples(), pool->counts.total());
    const auto found = bestTarget(*pool, *demand, m_hooks.rules ? m_hooks.rules() : std::vector<RoleRule>());
    if (!found)
        return {};
    m_nextDecision = Deadline::after(now, m_settings.minDecisionInterval);
    return nextChanges(*pool, *found, *demand);
}

RolePolicy::RolePolicy(const RoleSettings& settings, RoleHooks hooks)
    : m_impl(std::make_unique<Impl>(settings, std::move(hooks)))
{
}

RolePolicy::~RolePolicy() = default;
RolePolicy::RolePolicy(RolePolicy&&) noexcept = default;
RolePolicy& RolePolicy::operator=(RolePolicy&&) noexcept = default;

void RolePolicy::onDemand(const HostId& host, const DemandReport& report, MonotonicTime now)
{
    m_impl->onDemand(host, report, now);
}

void RolePolicy::onEngines(std::vector<EngineStatus> engines, MonotonicTime)
{
    m_impl->onEngines(std::move(engines));
}

std::vector<RoleChange> RolePolicy::decide(MonotonicTime now) { return m_impl->decide(now); }

} // namespace almondscale
