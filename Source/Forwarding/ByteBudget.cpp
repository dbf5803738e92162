#include "Forwarding/ByteBudget.h"

namespace almondscale {

namespace {

    // Far larger than ordinary requests and responses.
    constexpr std::size_t exemptBytes = 256 << 10;
    // The smallest hosts have 160 MB of memory.
    constexpr std::size_t maxSharedBytes = 24 << 20;

} // namespace

bool ByteBudget::Reservation::resize(std::size_t bytes)
{
    const std::size_t shared = bytes > exemptBytes ? bytes - exemptBytes : 0;
    if (shared > m_shared && m_budget.m_shared + (shared - m_shared) > maxSharedBytes)
        return false;
    m_budget.m_shared += shared;
    m_budget.m_shared -= m_shared;
    m_shared = shared;
    return true;
}

} // namespace almondscale
