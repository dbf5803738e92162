#include "PeriodicDuty.h"

namespace almondscale {

PeriodicDuty::PeriodicDuty(Nanoseconds interval, std::function<void()> work)
    : m_interval(interval)
    , m_work(std::move(work))
{
}

PeriodicDuty::~PeriodicDuty() { stop(); }

void PeriodicDuty::start()
{
    m_running = true;
    m_thread = std::thread([this] { run(); });
}

void PeriodicDuty::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_running = false;
    }
    m_stopAsked.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void PeriodicDuty::run()
{
    std::unique_lock lock(m_mutex);
    while (m_running) {
        lock.unlock();
        m_work();
        lock.lock();
        m_stopAsked.wait_for(lock, m_interval, [this] { return !m_running; });
    }
}

} // namespace almondscale
