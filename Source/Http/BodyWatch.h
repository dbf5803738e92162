#pragma once

#include "Core/Deadline.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace almondscale {

// Refuses requests whose body does not arrive in time, on a thread of its own, as the library
// closes such connections without an answer.
class BodyWatch {
public:
    BodyWatch();
    ~BodyWatch();
    BodyWatch(const BodyWatch&) = delete;
    BodyWatch& operator=(const BodyWatch&) = delete;

    // The owner stands for the request while its body arrives on the descriptor.
    void add(const void* owner, int descriptor, Deadline);

    // False if the request was refused already; then nothing more may be written.
    bool remove(const void* owner);

private:
    struct Entry {
        int descriptor;
        Deadline deadline;
    };

    void run();
    void refuseOverdue();

    std::mutex m_mutex;
    std::map<const void*, Entry> m_entries;
    std::atomic<bool> m_running { true };
    std::thread m_thread;
};

} // namespace almondscale
