#include "Http/BodyTimeoutMonitor.h"

#include "Http/ErrorResponse.h"

#include <sys/socket.h>

namespace almondscale {

namespace {

    constexpr auto checkInterval = std::chrono::milliseconds(50);

    std::string timeoutResponse()
    {
        const HttpResponse response = errorResponse(ErrorKind::RequestTimeout);
        return "HTTP/1.1 408 -\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    }

} // namespace

BodyTimeoutMonitor::BodyTimeoutMonitor()
    : m_thread([this] { run(); })
{
}

BodyTimeoutMonitor::~BodyTimeoutMonitor()
{
    m_running = false;
    m_thread.join();
}

void BodyTimeoutMonitor::add(const void* owner, int descriptor, Deadline deadline)
{
    const std::lock_guard lock(m_mutex);
    m_entries[owner] = { descriptor, deadline };
}

bool BodyTimeoutMonitor::remove(const void* owner)
{
    const std::lock_guard lock(m_mutex);
    return m_entries.erase(owner) > 0;
}

void BodyTimeoutMonitor::run()
{
    while (m_running) {
        rejectExpired();
        std::this_thread::sleep_for(checkInterval);
    }
}

void BodyTimeoutMonitor::rejectExpired()
{
    const MonotonicTime now = monotonicClock()();
    // Holding the lock while sending keeps cxxtools from closing the descriptor and reusing its number.
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (!entry->second.deadline.passed(now)) {
            ++entry;
            continue;
        }
        const std::string response = timeoutResponse();
        ::send(entry->second.descriptor, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        // cxxtools reads end of file and closes the descriptor.
        ::shutdown(entry->second.descriptor, SHUT_RDWR);
        entry = m_entries.erase(entry);
    }
}

} // namespace almondscale
