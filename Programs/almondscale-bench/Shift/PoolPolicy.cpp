#include "Shift/PoolPolicy.h"

#include "Roles/RoleCapacity.h"
#include "Roles/RolePolicy.h"

#include <cmath>
#include <memory>
#include <optional>

namespace almondscale {

namespace {

    // The time that the almondscale policy allows for draining an engine before its change.
    constexpr Nanoseconds drainAllowance = std::chrono::seconds(4);

    // Compares the share of prefill work in the last reports with the share of prefill engines.
    class ThresholdPolicy {
    public:
        explicit ThresholdPolicy(const PoolPolicySetup& setup)
            : m_capacity(setup.speeds)
            , m_estimate(settings())
        {
        }

        void onDemand(const HostId& host, const DemandReport& report, MonotonicTime now)
        {
            m_estimate.onReport(host, report, now);
        }
        void onEngines(const std::vector<EngineStatus>& engines) { m_engines = engines; }
        std::vector<RoleChange> decide(MonotonicTime now);

    private:
        static constexpr double threshold = 0.15;

        static DemandEstimate::Settings settings()
        {
            DemandEstimate::Settings settings;
            settings.averagingWindow = std::chrono::seconds(4);
            return settings;
        }

        std::vector<RoleChange> change(EngineRole to, const RoleCounts&) const;

        RoleCapacity m_capacity;
        DemandEstimate m_estimate;
        std::vector<EngineStatus> m_engines;
    };

    // Takes an engine of the other side, but never the last one that does its part.
    std::vector<RoleChange> ThresholdPolicy::change(EngineRole to, const RoleCounts& counts) const
    {
        const auto opposite = to == EngineRole::Prefill ? EngineRole::Decode : EngineRole::Prefill;
        if (counts.of(opposite) + counts.mixed <= 1)
            return {};
        const auto from = counts.of(opposite) > 0 ? opposite : EngineRole::Mixed;
        for (const auto& engine : m_engines) {
            if (engine.readiness == EngineReadiness::Ready && engine.role == from)
                return { { engine.engine, from, to, 0 } };
        }
        return {};
    }

    std::vector<RoleChange> ThresholdPolicy::decide(MonotonicTime now)
    {
        m_estimate.advance(now);
        const auto demand = m_estimate.current(now);
        RoleCounts counts;
        for (const auto& engine : m_engines) {
            if (engine.readiness == EngineReadiness::Changing)
                return {};
            if (engine.readiness == EngineReadiness::Ready)
                ++counts.of(engine.role);
        }
        if (!demand || demand->requestsPerSecond <= 0 || counts.total() < 2)
            return {};
        const double prefill = m_capacity.prefillSeconds(*demand);
        const double wanted = prefill / (prefill + m_capacity.decodeSeconds(*demand));
        const double have = (counts.prefill + counts.mixed / 2.0) / counts.total();
        if (wanted > have + threshold)
            return change(EngineRole::Prefill, counts);
        if (wanted < have - threshold)
            return change(EngineRole::Decode, counts);
        return {};
    }

    template <typename Policy> PoolPolicy wrap(std::shared_ptr<Policy> policy)
    {
        PoolPolicy hooks;
        hooks.onDemand = [policy](const HostId& host, const DemandReport& report, MonotonicTime now) {
            policy->onDemand(host, report, now);
        };
        hooks.decide = [policy](MonotonicTime now) { return policy->decide(now); };
        return hooks;
    }

} // namespace

PoolPolicy makeFixedPolicy(const PoolPolicySetup&)
{
    return { [](const HostId&, const DemandReport&, MonotonicTime) {},
        [](const std::vector<EngineStatus>&, MonotonicTime) {},
        [](MonotonicTime) { return std::vector<RoleChange>(); } };
}

PoolPolicy makeThresholdPolicy(const PoolPolicySetup& setup)
{
    auto policy = std::make_shared<ThresholdPolicy>(setup);
    auto hooks = wrap(policy);
    hooks.onEngines
        = [policy](const std::vector<EngineStatus>& engines, MonotonicTime) { policy->onEngines(engines); };
    return hooks;
}

PoolPolicy makeAlmondscalePolicy(const PoolPolicySetup& setup)
{
    RoleSettings settings;
    settings.profile = setup.speeds;
    settings.changeTime = setup.roleChange + drainAllowance;
    auto policy = std::make_shared<RolePolicy>(settings, RoleHooks());
    auto hooks = wrap(policy);
    hooks.onEngines = [policy](const std::vector<EngineStatus>& engines, MonotonicTime now) {
        policy->onEngines(engines, now);
    };
    return hooks;
}

} // namespace almondscale
