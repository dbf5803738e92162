#pragma once

#include "Core/MonotonicTime.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace almondscale {

// Does one thing again and again on a thread of its own.
class PeriodicDuty {
public:
    PeriodicDuty(Nanoseconds interval, std::function<void()> work);
    ~PeriodicDuty();
    PeriodicDuty(const PeriodicDuty&) = delete;
    PeriodicDuty& operator=(const PeriodicDuty&) = delete;

    void start();
    // Waits for work in progress; does nothing if the duty was not started.
    void stop();

private:
    void run();

    Nanoseconds m_interval;
    std::function<void()> m_work;
    std::mutex m_mutex;
    std::condition_variable m_stopAsked;
    bool m_running = false;
    std::thread m_thread;
};

} // namespace almondscale
