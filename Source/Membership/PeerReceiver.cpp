#include "Membership/PeerReceiver.h"

#include "Core/LogEvent.h"

#include <poll.h>

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

namespace almondscale {

namespace {

    constexpr std::size_t maxConnections = 1024;
    // Connections on which no valid frame has been received yet.
    constexpr std::size_t maxUnauthenticatedConnections = 64;
    constexpr std::size_t acceptedCapacity = 64;
    constexpr int backlog = 128;
    constexpr int pollTimeoutMs = 20;
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

PeerReceiver::PeerReceiver(const Address& listen, const Address& self, const FrameAuthenticator& keys,
    TransportCounters& counters, BoundedQueue<std::string>& frames, std::size_t frameCapacity)
    : m_listen(listen)
    , m_self(self)
    , m_keys(keys)
    , m_counters(counters)
    , m_frames(frames)
    , m_frameCapacity(frameCapacity)
    , m_accepted(acceptedCapacity)
{
}

PeerReceiver::~PeerReceiver() { stop(); }

void PeerReceiver::start()
{
    m_server.listen(m_listen.ip, m_listen.port, backlog);
    m_acceptThread = std::thread([this] { acceptLoop(); });
    m_receiveThread = std::thread([this] { receiveLoop(); });
}

void PeerReceiver::stop()
{
    if (m_stopping.exchange(true) || !m_acceptThread.joinable())
        return;
    m_server.terminateAccept();
    m_acceptThread.join();
    m_receiveThread.join();
    m_connections.clear();
}

void PeerReceiver::acceptLoop()
{
    while (!m_stopping) {
        try {
            auto socket = std::make_shared<cxxtools::net::TcpSocket>();
            socket->accept(m_server);
            ++m_counters.connectionsAccepted;
            // Only this thread pushes to the ring, so it cannot fill up after the check.
            if (m_accepted.size() < acceptedCapacity)
                m_accepted.push(socket);
            else
                ++m_counters.connectionsRefused;
        } catch (const cxxtools::net::AcceptTerminated&) {
            return;
        } catch (const std::exception& error) {
            LogEvent("peer_accept_failed", LogLevel::Warning).with("error", error.what());
            std::this_thread::sleep_for(acceptRetryDelay);
        }
    }
}

void PeerReceiver::receiveLoop()
{
    const auto clock = monotonicClock();
    while (!m_stopping) {
        while (m_accepted.size() > 0) {
            if (auto socket = m_accepted.pop(0))
                admit(std::move(*socket), clock());
        }
        waitForBytes();
        readConnections(clock());
    }
}

void PeerReceiver::admit(SocketPointer socket, MonotonicTime now)
{
    const auto unauthenticated
        = [](const InboundConnection& connection) { return !connection.authenticated(); };
    const auto waiting = static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), unauthenticated));
    if (waiting >= maxUnauthenticatedConnections) {
        // Evicts the oldest unauthenticated connection, so that unauthenticated clients cannot lock out
        // peers.
        m_connections.erase(std::find_if(m_connections.begin(), m_connections.end(), unauthenticated));
        ++m_counters.connectionsRefused;
    }
    if (m_connections.size() >= maxConnections) {
        ++m_counters.connectionsRefused;
        return;
    }
    m_connections.emplace_back(std::move(socket), m_self, now);
    if (!m_connections.back().sendChallenge())
        m_connections.pop_back();
}

void PeerReceiver::waitForBytes()
{
    std::vector<pollfd> waiting;
    waiting.reserve(m_connections.size());
    for (const auto& connection : m_connections)
        waiting.push_back({ connection.descriptor(), POLLIN, 0 });
    ::poll(waiting.data(), waiting.size(), pollTimeoutMs);
}

void PeerReceiver::readConnections(MonotonicTime now)
{
    const auto received = [this](const std::string& frame) { deliver(frame); };
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        bool keep = connection->receive(m_keys, m_counters, received, now);
        if (keep && connection->expired(now)) {
            keep = false;
            if (!connection->authenticated())
                ++m_counters.connectionsRefused;
        }
        connection = keep ? std::next(connection) : m_connections.erase(connection);
    }
}

void PeerReceiver::deliver(const std::string& frame)
{
    // Only this thread pushes to the ring, so it cannot fill up after the check.
    if (m_frames.size() < m_frameCapacity)
        m_frames.push(frame);
    else
        ++m_counters.framesDropped;
}

} // namespace almondscale
