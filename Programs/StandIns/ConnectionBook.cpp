#include "StandIns/ConnectionBook.h"

#include "StandIns/PeerName.h"

#include <sys/socket.h>

namespace almondscale::standin {

namespace {

    constexpr int holdPollMs = 20;

} // namespace

void ConnectionBook::add(const std::string& connection, int socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_closed)
        ::shutdown(socket, SHUT_RDWR);
    m_open[connection] = socket;
}

void ConnectionBook::remove(const std::string& connection)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open.erase(connection);
    m_silent.erase(connection);
}

void ConnectionBook::silenceAllBut(const std::string& spared)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [connection, socket] : m_open) {
        // An idle connection may have been closed without notice.
        if (connection != spared && peerName(socket) == connection)
            m_silent.insert(connection);
    }
    m_open.clear();
}

bool ConnectionBook::silent(const std::string& connection) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_silent.count(connection) != 0;
}

void ConnectionBook::holdSilent(const std::string& connection, int socket)
{
    while (!closed() && !peerGone(socket, holdPollMs)) { }
    remove(connection);
}

void ConnectionBook::close()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    for (const auto& [connection, socket] : m_open) {
        // An idle connection may have been closed without notice.
        if (peerName(socket) == connection)
            ::shutdown(socket, SHUT_RDWR);
    }
}

void ConnectionBook::reopen()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open.clear();
    m_silent.clear();
    m_closed = false;
}

bool ConnectionBook::closed() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_closed;
}

} // namespace almondscale::standin
