#pragma once

#include "Core/Address.h"
#include "Core/BoundedQueue.h"
#include "Core/MonotonicTime.h"
#include "Membership/FrameAuthenticator.h"
#include "Membership/InboundConnection.h"
#include "Membership/TransportCounters.h"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace almondscale {

// Accepts connections from peers and delivers their authenticated frames to a ring. One thread accepts,
// another receives; neither blocks on a peer.
class PeerReceiver {
public:
    // `self` is the address at which peers reach this host; frames signed for another address are rejected.
    PeerReceiver(const Address& listen, const Address& self, const FrameAuthenticator&, TransportCounters&,
        BoundedQueue<std::string>& frames, std::size_t frameCapacity);
    ~PeerReceiver();
    PeerReceiver(const PeerReceiver&) = delete;
    PeerReceiver& operator=(const PeerReceiver&) = delete;

    // Throws std::exception if listening on the address fails.
    void start();
    void stop();

private:
    using SocketPointer = std::shared_ptr<cxxtools::net::TcpSocket>;

    void acceptLoop();
    void receiveLoop();
    void admit(SocketPointer, MonotonicTime now);
    void waitForBytes();
    void readConnections(MonotonicTime now);
    void deliver(const std::string& frame);

    Address m_listen;
    Address m_self;
    const FrameAuthenticator& m_keys;
    TransportCounters& m_counters;
    BoundedQueue<std::string>& m_frames;
    std::size_t m_frameCapacity;
    cxxtools::net::TcpServer m_server;
    BoundedQueue<SocketPointer> m_accepted;
    std::list<InboundConnection> m_connections;
    std::atomic<bool> m_stopping { false };
    std::thread m_acceptThread;
    std::thread m_receiveThread;
};

} // namespace almondscale
