#pragma once

#include "Core/MonotonicTime.h"
#include "Membership/FrameAuthenticator.h"
#include "Membership/FrameReader.h"
#include "Membership/TransportCounters.h"

#include <cxxtools/net/tcpsocket.h>

#include <functional>
#include <memory>
#include <string>

namespace almondscale {

// A connection that a peer opened to this host. The challenge is the only data sent on it; frames are
// received.
class InboundConnection {
public:
    using Received = std::function<void(const std::string& frame)>;

    InboundConnection(std::shared_ptr<cxxtools::net::TcpSocket>, const Address& self, MonotonicTime now);

    // Reads the available bytes without blocking and passes each authenticated frame to the callback. Returns
    // false if the connection must be closed: end of stream, socket error, invalid MAC or oversized frame.
    bool receive(const FrameAuthenticator&, TransportCounters&, const Received&, MonotonicTime now);
    // Returns false if the challenge could not be sent in full.
    bool sendChallenge();
    // Whether a frame with a valid MAC has been received.
    bool authenticated() const { return m_context.sequence > 0; }
    // Whether the authentication timeout or the idle timeout has passed.
    bool expired(MonotonicTime now) const { return now >= m_closeAt; }
    int descriptor() const { return m_socket->getFd(); }

private:
    bool processFrames(const FrameAuthenticator&, TransportCounters&, const Received&, MonotonicTime now);

    std::shared_ptr<cxxtools::net::TcpSocket> m_socket;
    FrameContext m_context;
    FrameReader m_reader;
    MonotonicTime m_closeAt;
};

} // namespace almondscale
