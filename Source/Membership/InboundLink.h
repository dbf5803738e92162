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

// One connection that a peer opened to this host; frames come in, only the challenge goes out.
class InboundLink {
public:
    using Received = std::function<void(const std::string& frame)>;

    InboundLink(std::shared_ptr<cxxtools::net::TcpSocket>, const Address& self, MonotonicTime now);

    // Takes in what has arrived; false when the connection must be closed.
    bool receive(const FrameAuthenticator&, TransportCounters&, const Received&, MonotonicTime now);
    bool sendChallenge();
    // Whether the peer proved that it has a key.
    bool proved() const { return m_context.sequence > 0; }
    bool expired(MonotonicTime now) const { return now >= m_closeAt; }
    int descriptor() const { return m_socket->getFd(); }

private:
    bool take(const FrameAuthenticator&, TransportCounters&, const Received&, MonotonicTime now);

    std::shared_ptr<cxxtools::net::TcpSocket> m_socket;
    FrameContext m_context;
    FrameReader m_reader;
    MonotonicTime m_closeAt;
};

} // namespace almondscale
