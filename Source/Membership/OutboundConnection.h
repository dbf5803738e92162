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

// The connection that this host opens to one peer, with a bounded send queue. No call blocks.
class OutboundConnection {
public:
    OutboundConnection(const Address& peer, TransportCounters&);

    // Queues a frame; drops the oldest queued frame if the queue is full.
    void enqueue(std::string frame, MonotonicTime now);
    // Closes the connection; the next step() that has a frame to send opens a new one.
    void reconnect();
    // Advances connecting and sending as far as possible without blocking.
    void step(const FrameAuthenticator&, MonotonicTime now);
    // Whether the queue is empty and no frame was queued within the idle timeout.
    bool idle(MonotonicTime now) const { return m_queue.empty() && now >= m_idleDeadline; }

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
    void sendQueued(const FrameAuthenticator&, MonotonicTime now);
    bool sendPending(MonotonicTime now);
    void fail(MonotonicTime now);

    Address m_peer;
    TransportCounters& m_counters;
    State m_state = State::Closed;
    std::unique_ptr<cxxtools::net::TcpSocket> m_socket;
    FrameContext m_context;
    std::deque<std::string> m_queue;
    // The signed frame being sent, and how many of its bytes have been sent.
    std::string m_pending;
    std::size_t m_pendingSent = 0;
    MonotonicTime m_reopenAt {};
    // When the connection is closed unless it makes progress before.
    MonotonicTime m_progressDeadline {};
    MonotonicTime m_idleDeadline {};
};

} // namespace almondscale
