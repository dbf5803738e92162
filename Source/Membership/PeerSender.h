#pragma once

#include "Core/BoundedQueue.h"
#include "Core/MonotonicTime.h"
#include "Membership/FrameAuthenticator.h"
#include "Membership/OutboundLink.h"
#include "Membership/OutgoingFrame.h"
#include "Membership/TransportCounters.h"

#include <atomic>
#include <map>
#include <thread>

namespace almondscale {

// Sends frames to peers from a thread of its own; an unreachable or silent peer never holds up the others.
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
    void take(OutgoingFrame, MonotonicTime now);
    void stepAll(MonotonicTime now);

    const FrameAuthenticator& m_keys;
    TransportCounters& m_counters;
    BoundedQueue<OutgoingFrame>& m_frames;
    std::map<Address, OutboundLink> m_links;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace almondscale
