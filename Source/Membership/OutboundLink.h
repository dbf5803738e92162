#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Membership/FrameAuthenticator.h"
#include "Membership/TransportCounters.h"

#include <cxxtools/net/tcpsocket.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace almondscale {

// The connection that this host opens to one peer, with a bounded queue; it never waits.
class OutboundLink {
public:
    OutboundLink(const Address& peer, TransportCounters&);

    // Drops the oldest frame if the queue is full.
    void enqueue(std::string frame, MonotonicTime now);
    // Gives up the connection; the next step opens a new one.
    void reconnect();
    // Does what can be done without waiting.
    void step(const FrameAuthenticator&, MonotonicTime now);
    // Whether the link has nothing to do and has had nothing for a while.
    bool idle(MonotonicTime now) const { return m_queue.empty() && now >= m_idleAt; }

private:
    enum class State {
        Closed,
        Connecting,
        AwaitingChallenge,
        Ready,
    };

    int descriptor() const { return m_socket->getFd(); }
    void open(MonotonicTime now);
    void finishConnect(MonotonicTime now);
    void connected();
    void readChallenge(MonotonicTime now);
    bool peerClosed() const;
    void write(const FrameAuthenticator&, MonotonicTime now);
    bool writePending(MonotonicTime now);
    void fail(MonotonicTime now);

    Address m_peer;
    TransportCounters& m_counters;
    State m_state = State::Closed;
    std::unique_ptr<cxxtools::net::TcpSocket> m_socket;
    FrameContext m_context;
    std::deque<std::string> m_queue;
    // The signed frame that is on its way, and what of it has been sent.
    std::string m_pending;
    std::size_t m_sent = 0;
    MonotonicTime m_openAt {};
    // When the connection is given up unless it makes progress before.
    MonotonicTime m_progressBy {};
    MonotonicTime m_idleAt {};
};

} // namespace almondscale
