#include "Core/LogGate.h"

#include <algorithm>
#include <utility>

namespace almondscale {

LogGate::LogGate(LogBudget budget) { setBudget(budget); }

void LogGate::setBudget(LogBudget budget)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_budget = budget;
    m_tokens = budget.burst;
}

bool LogGate::admit(LogLevel level, double nowSeconds, bool outputTakes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_budget.linesPerSecond <= 0)
        return true;
    m_tokens
        = std::min(m_budget.burst, m_tokens + std::max(0.0, nowSeconds - m_at) * m_budget.linesPerSecond);
    m_at = nowSeconds;
    const double floor = level >= LogLevel::Warning ? 0 : m_budget.reserved * m_budget.burst;
    if (!outputTakes || m_tokens < floor + 1) {
        ++m_omitted;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t LogGate::takeOmitted()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::exchange(m_omitted, 0);
}

} // namespace almondscale
