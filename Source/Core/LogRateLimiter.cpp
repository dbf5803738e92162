#include "Core/LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace almondscale {

LogRateLimiter::LogRateLimiter(LogRateLimit limit) { setLimit(limit); }

void LogRateLimiter::setLimit(LogRateLimit limit)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_limit = limit;
    m_tokens = limit.burst;
}

bool LogRateLimiter::admit(LogLevel level, double nowSeconds, bool outputWritable)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_limit.linesPerSecond <= 0)
        return true;
    m_tokens = std::min(m_limit.burst, m_tokens + std::max(0.0, nowSeconds - m_at) * m_limit.linesPerSecond);
    m_at = nowSeconds;
    const double floor = level >= LogLevel::Warning ? 0 : m_limit.reserved * m_limit.burst;
    if (!outputWritable || m_tokens < floor + 1) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeDropped()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::exchange(m_dropped, 0);
}

} // namespace almondscale
