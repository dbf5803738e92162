#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace almondscale {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
{
}

void RetryBudget::onRequest(MonotonicTime now)
{
    removeBefore(now - m_options.window);
    m_requests.push_back(now);
    const double maxSaved
        = std::max(1.0, m_options.earnedPerRequest * static_cast<double>(m_requests.size()));
    m_saved = std::min(maxSaved, m_saved + m_options.earnedPerRequest);
}

bool RetryBudget::tryRetry(MonotonicTime now, int count)
{
    removeBefore(now - m_options.window);
    const auto retries = static_cast<double>(m_retries.size()) + count;
    const bool withinMinimum = retries <= m_options.minRetries;
    const bool withinRatio = retries <= m_options.maxRatio * static_cast<double>(m_requests.size());
    if (!withinMinimum && !(withinRatio && m_saved >= count))
        return false;
    m_saved = std::max(0.0, m_saved - count);
    m_retries.insert(m_retries.end(), static_cast<std::size_t>(count), now);
    return true;
}

void RetryBudget::removeBefore(MonotonicTime oldest)
{
    for (auto* times : { &m_requests, &m_retries }) {
        while (!times->empty() && times->front() <= oldest)
            times->pop_front();
    }
}

} // namespace almondscale
