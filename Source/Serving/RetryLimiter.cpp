#include "Serving/RetryLimiter.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Share of the bounds that the hosts use. The rest covers unfavourable window boundaries and hosts that
    // left recently.
    constexpr double usedShare = 0.7;

} // namespace

RetryLimiter::RetryLimiter(RetryBounds bounds, int hosts)
    : m_bounds(bounds)
    , m_hosts(std::max(1, hosts))
{
}

bool RetryLimiter::setHosts(int hosts)
{
    if (hosts == m_hosts || hosts < 1)
        return false;
    m_hosts = hosts;
    applyShare();
    return true;
}

void RetryLimiter::setBounds(const RetryBounds& bounds)
{
    m_bounds = bounds;
    applyShare();
}

void RetryLimiter::applyShare()
{
    for (auto& entry : m_budgets)
        entry.second.setOptions(share());
}

void RetryLimiter::onRequest(const ServiceName& service, MonotonicTime now)
{
    budget(service).onRequest(now);
}

bool RetryLimiter::tryRetry(const ServiceName& service, MonotonicTime now, int sends)
{
    return budget(service).tryRetry(now, sends);
}

RetryBudget& RetryLimiter::budget(const ServiceName& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    return m_budgets.emplace(service, RetryBudget(share())).first->second;
}

RetryBudgetOptions RetryLimiter::share() const
{
    RetryBudgetOptions options;
    options.window = m_bounds.window;
    options.maxRatio = m_bounds.ratio * usedShare;
    options.earnedPerRequest = m_bounds.ratio * usedShare;
    options.minRetries = static_cast<int>(usedShare * m_bounds.minRetries / m_hosts);
    return options;
}

} // namespace almondscale
