#include "Membership/InboundConnection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace almondscale {

namespace {

    // Limits how long an unauthenticated peer can occupy a connection.
    constexpr auto authenticationTimeout = std::chrono::seconds(5);
    constexpr auto idleTimeout = std::chrono::seconds(120);
    constexpr std::size_t readBytes = 16384;

} // namespace

InboundConnection::InboundConnection(
    std::shared_ptr<cxxtools::net::TcpSocket> socket, const Address& self, MonotonicTime now)
    : m_socket(std::move(socket))
    , m_context { FrameAuthenticator::makeChallenge(), 0, self }
    , m_closeAt(now + authenticationTimeout)
{
}

bool InboundConnection::sendChallenge()
{
    const auto& challenge = m_context.challenge;
    const auto sent = ::send(descriptor(), challenge.data(), challenge.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(challenge.size());
}

bool InboundConnection::receive(
    const FrameAuthenticator& keys, TransportCounters& counters, const Received& received, MonotonicTime now)
{
    std::array<char, readBytes> buffer {};
    const auto count = ::recv(descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (count == 0)
        return false;
    counters.bytesReceived += static_cast<std::uint64_t>(count);
    m_reader.append(buffer.data(), static_cast<std::size_t>(count));
    return processFrames(keys, counters, received, now);
}

bool InboundConnection::processFrames(
    const FrameAuthenticator& keys, TransportCounters& counters, const Received& received, MonotonicTime now)
{
    while (auto frame = m_reader.next()) {
        if (!keys.verify(m_context, frame->frame, frame->mac)) {
            ++counters.framesUnauthorised;
            return false;
        }
        ++m_context.sequence;
        m_closeAt = now + idleTimeout;
        received(frame->frame);
    }
    if (m_reader.oversized())
        ++counters.framesOversized;
    return !m_reader.oversized();
}

} // namespace almondscale
