#include "StandIns/RateLimit.h"

#include <algorithm>

namespace almondscale::standin {

RateLimit::RateLimit(double perSecond)
    : m_perSecond(perSecond)
    , m_tokens(perSecond)
{
}

bool RateLimit::allow(MonotonicTime now)
{
    const double passed = std::chrono::duration<double>(now - m_last).count();
    m_tokens = std::min(m_perSecond, m_tokens + passed * m_perSecond);
    m_last = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace almondscale::standin
