#include "Membership/OutboundConnection.h"

#include "Membership/FrameReader.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <exception>
#include <utility>

namespace almondscale {

namespace {

    constexpr std::size_t maxQueuedFrames = 64;
    constexpr auto connectTimeout = std::chrono::seconds(1);
    constexpr auto progressTimeout = std::chrono::seconds(3);
    constexpr auto reopenDelay = std::chrono::milliseconds(200);
    constexpr auto idleTimeout = std::chrono::seconds(60);
    // The kernel closes a connection whose data stays unacknowledged for this long.
    constexpr unsigned unacknowledgedTimeoutMs = 3000;

    void setOption(int descriptor, int option, unsigned value)
    {
        // Errors are ignored: without the option a lost peer is only detected later.
        static_cast<void>(::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value)));
    }

    bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

} // namespace

OutboundConnection::OutboundConnection(const Address& peer, TransportCounters& counters)
    : m_peer(peer)
    , m_counters(counters)
{
}

void OutboundConnection::enqueue(std::string frame, MonotonicTime now)
{
    if (m_queue.size() >= maxQueuedFrames) {
        m_queue.pop_front();
        ++m_counters.framesDropped;
    }
    m_queue.push_back(std::move(frame));
    m_idleDeadline = now + idleTimeout;
}

void OutboundConnection::reconnect()
{
    m_socket.reset();
    m_state = State::Closed;
    m_pending.clear();
    m_pendingSent = 0;
}

void OutboundConnection::fail(MonotonicTime now)
{
    reconnect();
    ++m_counters.connectionsFailed;
    m_reopenAt = now + reopenDelay;
}

void OutboundConnection::step(const FrameAuthenticator& keys, MonotonicTime now)
{
    if (m_state == State::Closed && !m_queue.empty() && now >= m_reopenAt)
        open(now);
    if (m_state == State::Connecting)
        finishConnect(now);
    if (m_state == State::AwaitingChallenge)
        readChallenge(now);
    if (m_state == State::Ready)
        sendQueued(keys, now);
    const bool waiting = m_state != State::Closed && (m_state != State::Ready || !m_pending.empty());
    if (waiting && now >= m_progressDeadline)
        fail(now);
}

void OutboundConnection::open(MonotonicTime now)
{
    m_progressDeadline = now + connectTimeout;
    m_context = FrameContext();
    m_context.receiver = m_peer;
    try {
        m_socket = std::make_unique<cxxtools::net::TcpSocket>();
        m_state = State::Connecting;
        if (m_socket->beginConnect(m_peer.ip, m_peer.port))
            connected();
    } catch (const std::exception&) {
        fail(now);
    }
}

void OutboundConnection::finishConnect(MonotonicTime now)
{
    pollfd waiting { descriptor(), POLLOUT, 0 };
    if (::poll(&waiting, 1, 0) <= 0)
        return;
    try {
        m_socket->endConnect();
    } catch (const std::exception&) {
        fail(now);
        return;
    }
    connected();
}

void OutboundConnection::connected()
{
    ++m_counters.connectionsOpened;
    setOption(descriptor(), TCP_NODELAY, 1);
    setOption(descriptor(), TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
    m_state = State::AwaitingChallenge;
}

void OutboundConnection::readChallenge(MonotonicTime now)
{
    std::array<char, FrameAuthenticator::challengeBytes> buffer {};
    const auto missing = FrameAuthenticator::challengeBytes - m_context.challenge.size();
    const auto count = ::recv(descriptor(), buffer.data(), missing, MSG_DONTWAIT);
    if (count < 0 && wouldBlock())
        return;
    if (count <= 0) {
        fail(now);
        return;
    }
    m_context.challenge.append(buffer.data(), static_cast<std::size_t>(count));
    if (m_context.challenge.size() < FrameAuthenticator::challengeBytes)
        return;
    m_state = State::Ready;
    m_progressDeadline = now + progressTimeout;
}

// A peer sends nothing after the challenge, so a readable socket means that the connection was closed or is
// misused.
bool OutboundConnection::peerClosed() const
{
    char byte = 0;
    return ::recv(descriptor(), &byte, 1, MSG_DONTWAIT) >= 0 || !wouldBlock();
}

void OutboundConnection::sendQueued(const FrameAuthenticator& keys, MonotonicTime now)
{
    if (peerClosed()) {
        fail(now);
        return;
    }
    for (;;) {
        if (m_pending.empty()) {
            if (m_queue.empty())
                return;
            const auto frame = std::move(m_queue.front());
            m_queue.pop_front();
            m_pending = wireBytes({ keys.sign(m_context, frame), frame });
            m_pendingSent = 0;
            ++m_context.sequence;
            m_progressDeadline = now + progressTimeout;
        }
        if (!sendPending(now))
            return;
    }
}

// Returns false if nothing more can be sent now.
bool OutboundConnection::sendPending(MonotonicTime now)
{
    const auto* data = m_pending.data() + m_pendingSent;
    const auto count
        = ::send(descriptor(), data, m_pending.size() - m_pendingSent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) {
        if (!wouldBlock())
            fail(now);
        return false;
    }
    m_counters.bytesSent += static_cast<std::uint64_t>(count);
    m_pendingSent += static_cast<std::size_t>(count);
    m_progressDeadline = now + progressTimeout;
    if (m_pendingSent == m_pending.size())
        m_pending.clear();
    return true;
}

} // namespace almondscale
