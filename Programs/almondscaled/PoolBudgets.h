#pragma once

#include "Core/MonotonicTime.h"
#include "Dispatch/RetryBudget.h"

#include <map>
#include <mutex>
#include <string>

namespace almondscale {

// The retry budgets of this host, one for each model or service; safe for use by many threads.
class PoolBudgets {
public:
    void onRequest(const std::string& pool, MonotonicTime now)
    {
        const std::lock_guard lock(m_mutex);
        m_budgets[pool].onRequest(now);
    }

    bool tryRetry(const std::string& pool, MonotonicTime now)
    {
        const std::lock_guard lock(m_mutex);
        return m_budgets[pool].tryRetry(now);
    }

private:
    std::mutex m_mutex;
    std::map<std::string, RetryBudget> m_budgets;
};

} // namespace almondscale
