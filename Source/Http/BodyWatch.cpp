#include "Http/BodyWatch.h"

#include "Http/ErrorResponse.h"

#include <sys/socket.h>

namespace almondscale {

namespace {

    constexpr auto checkInterval = std::chrono::milliseconds(50);

    std::string timeoutAnswer()
    {
        const HttpResponse response = errorResponse(ErrorKind::RequestTimeout);
        return "HTTP/1.1 408 -\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    }

} // namespace

BodyWatch::BodyWatch()
    : m_thread([this] { run(); })
{
}

BodyWatch::~BodyWatch()
{
    m_running = false;
    m_thread.join();
}

void BodyWatch::add(const void* owner, int descriptor, Deadline deadline)
{
    const std::lock_guard lock(m_mutex);
    m_entries[owner] = { descriptor, deadline };
}

bool BodyWatch::remove(const void* owner)
{
    const std::lock_guard lock(m_mutex);
    return m_entries.erase(owner) > 0;
}

void BodyWatch::run()
{
    while (m_running) {
        refuseOverdue();
        std::this_thread::sleep_for(checkInterval);
    }
}

void BodyWatch::refuseOverdue()
{
    const MonotonicTime now = monotonicClock()();
    // Holding the lock while sending keeps cxxtools from closing the descriptor and reusing its number.
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (!entry->second.deadline.passed(now)) {
            ++entry;
            continue;
        }
        const std::string answer = timeoutAnswer();
        ::send(entry->second.descriptor, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        // cxxtools reads end of file and closes the descriptor.
        ::shutdown(entry->second.descriptor, SHUT_RDWR);
        entry = m_entries.erase(entry);
    }
}

} // namespace almondscale
