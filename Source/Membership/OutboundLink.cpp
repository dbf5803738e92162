#include "Membership/OutboundLink.h"

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
    // The system gives up a connection whose bytes stay unacknowledged for so long.
    constexpr unsigned unacknowledgedTimeoutMs = 3000;

    void setOption(int descriptor, int option, unsigned value)
    {
        // Without the option the link still works, only slower to notice a lost peer.
        static_cast<void>(::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value)));
    }

    bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

} // namespace

OutboundLink::OutboundLink(const Address& peer, TransportCounters& counters)
    : m_peer(peer)
    , m_counters(counters)
{
}

void OutboundLink::enqueue(std::string frame, MonotonicTime now)
{
    if (m_queue.size() >= maxQueuedFrames) {
        m_queue.pop_front();
        ++m_counters.framesDropped;
    }
    m_queue.push_back(std::move(frame));
    m_idleAt = now + idleTimeout;
}

void OutboundLink::reconnect()
{
    m_socket.reset();
    m_state = State::Closed;
    m_pending.clear();
    m_sent = 0;
}

void OutboundLink::fail(MonotonicTime now)
{
    reconnect();
    ++m_counters.connectionsFailed;
    m_openAt = now + reopenDelay;
}

void OutboundLink::step(const FrameAuthenticator& keys, MonotonicTime now)
{
    if (m_state == State::Closed && !m_queue.empty() && now >= m_openAt)
        open(now);
    if (m_state == State::Connecting)
        finishConnect(now);
    if (m_state == State::AwaitingChallenge)
        readChallenge(now);
    if (m_state == State::Ready)
        write(keys, now);
    const bool waiting = m_state != State::Closed && (m_state != State::Ready || !m_pending.empty());
    if (waiting && now >= m_progressBy)
        fail(now);
}

void OutboundLink::open(MonotonicTime now)
{
    m_progressBy = now + connectTimeout;
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

void OutboundLink::finishConnect(MonotonicTime now)
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

void OutboundLink::connected()
{
    ++m_counters.connectionsOpened;
    setOption(descriptor(), TCP_NODELAY, 1);
    setOption(descriptor(), TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
    m_state = State::AwaitingChallenge;
}

void OutboundLink::readChallenge(MonotonicTime now)
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
    m_progressBy = now + progressTimeout;
}

// After the challenge a peer sends nothing; anything readable is the end of the connection.
bool OutboundLink::peerClosed() const
{
    char byte = 0;
    return ::recv(descriptor(), &byte, 1, MSG_DONTWAIT) >= 0 || !wouldBlock();
}

void OutboundLink::write(const FrameAuthenticator& keys, MonotonicTime now)
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
            m_sent = 0;
            ++m_context.sequence;
            m_progressBy = now + progressTimeout;
        }
        if (!writePending(now))
            return;
    }
}

// False when nothing more can be written now.
bool OutboundLink::writePending(MonotonicTime now)
{
    const auto* data = m_pending.data() + m_sent;
    const auto count = ::send(descriptor(), data, m_pending.size() - m_sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) {
        if (!wouldBlock())
            fail(now);
        return false;
    }
    m_counters.bytesSent += static_cast<std::uint64_t>(count);
    m_sent += static_cast<std::size_t>(count);
    m_progressBy = now + progressTimeout;
    if (m_sent == m_pending.size())
        m_pending.clear();
    return true;
}

} // namespace almondscale
