#pragma once

#include "Core/Deadline.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace almondscale {

// Answers requests whose body is not complete by its deadline with status 408 and shuts their connection
// down. Uses a thread of its own, since cxxtools closes such connections without a response.
class BodyTimeoutMonitor {
public:
    BodyTimeoutMonitor();
    ~BodyTimeoutMonitor();
    BodyTimeoutMonitor(const BodyTimeoutMonitor&) = delete;
    BodyTimeoutMonitor& operator=(const BodyTimeoutMonitor&) = delete;

    // Starts the timeout of a request whose body is read from the descriptor; the owner is the key for
    // remove().
    void add(const void* owner, int descriptor, Deadline);

    // Cancels the timeout. Returns false if the request has been rejected already, after which nothing may be
    // written to the connection.
    bool remove(const void* owner);

private:
    struct Entry {
        int descriptor;
        Deadline deadline;
    };

    void run();
    void rejectExpired();

    std::mutex m_mutex;
    std::map<const void*, Entry> m_entries;
    std::atomic<bool> m_running { true };
    std::thread m_thread;
};

} // namespace almondscale
