#pragma once

#include "Core/Address.h"
#include "Core/BoundedQueue.h"
#include "Core/MonotonicTime.h"
#include "Membership/FrameAuthenticator.h"
#include "Membership/InboundLink.h"
#include "Membership/TransportCounters.h"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace almondscale {

// Accepts the peers' connections and passes on the frames of those that prove a key. One thread accepts, one
// receives; neither waits for a peer.
class PeerReceiver {
public:
    // `self` is the address by which peers reach this host; frames made for another are refused.
    PeerReceiver(const Address& listen, const Address& self, const FrameAuthenticator&, TransportCounters&,
        BoundedQueue<std::string>& frames, std::size_t frameCapacity);
    ~PeerReceiver();
    PeerReceiver(const PeerReceiver&) = delete;
    PeerReceiver& operator=(const PeerReceiver&) = delete;

    // Throws std::exception if the address cannot be listened on.
    void start();
    void stop();

private:
    using SocketPointer = std::shared_ptr<cxxtools::net::TcpSocket>;

    void acceptLoop();
    void receiveLoop();
    void admit(SocketPointer, MonotonicTime now);
    void waitForBytes();
    void receiveAll(MonotonicTime now);
    void passOn(const std::string& frame);

    Address m_listen;
    Address m_self;
    const FrameAuthenticator& m_keys;
    TransportCounters& m_counters;
    BoundedQueue<std::string>& m_frames;
    std::size_t m_frameCapacity;
    cxxtools::net::TcpServer m_server;
    BoundedQueue<SocketPointer> m_accepted;
    std::list<InboundLink> m_links;
    std::atomic<bool> m_stopping { false };
    std::thread m_acceptThread;
    std::thread m_receiveThread;
};

} // namespace almondscale
