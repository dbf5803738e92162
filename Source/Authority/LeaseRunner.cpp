#include "Authority/LeaseRunner.h"

#include <utility>

namespace almondscale {

LeaseRunner::LeaseRunner(Lease lease, Table table, Clock clock)
    : m_lease(std::move(lease))
    , m_table(std::move(table))
    , m_clock(std::move(clock))
{
}

bool LeaseRunner::step()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto call = m_lease.nextCall(m_clock());
    if (!call)
        return false;
    // The table may be slow; lease() and release() must not block on it.
    lock.unlock();
    const auto answer = performCall(m_table, *call);
    lock.lock();
    m_lease.onAnswer(m_clock(), answer);
    return true;
}

Lease LeaseRunner::lease() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lease;
}

void LeaseRunner::release()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_lease.release();
}

} // namespace almondscale
