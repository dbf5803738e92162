#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace almondscale {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
{
}

void RetryBudget::onRequest(MonotonicTime now)
{
    forgetBefore(now - m_options.window);
    m_requests.push_back(now);
    const double most = std::max(1.0, m_options.earned * static_cast<double>(m_requests.size()));
    m_saved = std::min(most, m_saved + m_options.earned);
}

bool RetryBudget::tryRetry(MonotonicTime now, int count)
{
    forgetBefore(now - m_options.window);
    const auto retries = static_cast<double>(m_retries.size()) + count;
    const bool few = retries <= m_options.leastRetries;
    const bool withinShare = retries <= m_options.share * static_cast<double>(m_requests.size());
    if (!few && !(withinShare && m_saved >= count))
        return false;
    m_saved = std::max(0.0, m_saved - count);
    m_retries.insert(m_retries.end(), static_cast<std::size_t>(count), now);
    return true;
}

void RetryBudget::forgetBefore(MonotonicTime oldest)
{
    for (auto* times : { &m_requests, &m_retries }) {
        while (!times->empty() && times->front() <= oldest)
            times->pop_front();
    }
}

} // namespace almondscale
