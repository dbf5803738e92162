#pragma once

#include "Core/BoundedQueue.h"
#include "Core/MonotonicTime.h"
#include "Membership/FrameAuthenticator.h"
#include "Membership/OutboundConnection.h"
#include "Membership/OutgoingFrame.h"
#include "Membership/TransportCounters.h"

#include <atomic>
#include <map>
#include <thread>

namespace almondscale {

// Sends frames to peers from its own thread. An unreachable or unresponsive peer does not delay the others.
class PeerSender {
public:
    PeerSender(const FrameAuthenticator&, TransportCounters&, BoundedQueue<OutgoingFrame>& frames);
    ~PeerSender();
    PeerSender(const PeerSender&) = delete;
    PeerSender& operator=(const PeerSender&) = delete;

    void start();
    void stop();

private:
    void sendLoop();
    void enqueue(OutgoingFrame, MonotonicTime now);
    void stepConnections(MonotonicTime now);

    const FrameAuthenticator& m_keys;
    TransportCounters& m_counters;
    BoundedQueue<OutgoingFrame>& m_frames;
    std::map<Address, OutboundConnection> m_connections;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace almondscale
