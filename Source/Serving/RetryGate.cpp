#include "Serving/RetryGate.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Part of the bound that the hosts use, so that windows which fall badly and
    // hosts that have just left do not exceed it.
    constexpr double usedPart = 0.7;

} // namespace

RetryGate::RetryGate(RetryBounds bounds, int hosts)
    : m_bounds(bounds)
    , m_hosts(std::max(1, hosts))
{
}

bool RetryGate::setHosts(int hosts)
{
    if (hosts == m_hosts || hosts < 1)
        return false;
    m_hosts = hosts;
    applyShare();
    return true;
}

void RetryGate::setBounds(const RetryBounds& bounds)
{
    m_bounds = bounds;
    applyShare();
}

void RetryGate::applyShare()
{
    for (auto& entry : m_budgets)
        entry.second.setOptions(share());
}

void RetryGate::onRequest(const ServiceName& service, MonotonicTime now) { budget(service).onRequest(now); }

bool RetryGate::tryRetry(const ServiceName& service, MonotonicTime now, int sends)
{
    return budget(service).tryRetry(now, sends);
}

RetryBudget& RetryGate::budget(const ServiceName& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    return m_budgets.emplace(service, RetryBudget(share())).first->second;
}

RetryBudgetOptions RetryGate::share() const
{
    RetryBudgetOptions options;
    options.window = m_bounds.window;
    options.maxRatio = m_bounds.ratio * usedPart;
    options.earnedPerRequest = m_bounds.ratio * usedPart;
    options.minRetries = static_cast<int>(usedPart * m_bounds.least / m_hosts);
    return options;
}

} // namespace almondscale
