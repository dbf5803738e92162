#include "Membership/PeerReceiver.h"

#include "Core/LogEvent.h"

#include <poll.h>

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

namespace almondscale {

namespace {

    constexpr std::size_t maxLinks = 1024;
    // Connections of which no frame has been accepted yet.
    constexpr std::size_t maxUnprovedLinks = 64;
    constexpr std::size_t acceptedCapacity = 64;
    constexpr int backlog = 128;
    constexpr int pollTimeoutMs = 20;
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

PeerReceiver::PeerReceiver(const Address& listen, const Address& self, const FrameAuthenticator& keys,
    TransportCounters& counters, BoundedQueue<std::string>& frames, std::size_t frameCapacity)
    : m_listen(listen)
    , m_self(self)
    , m_keys(keys)
    , m_counters(counters)
    , m_frames(frames)
    , m_frameCapacity(frameCapacity)
    , m_accepted(acceptedCapacity)
{
}

PeerReceiver::~PeerReceiver() { stop(); }

void PeerReceiver::start()
{
    m_server.listen(m_listen.ip, m_listen.port, backlog);
    m_acceptThread = std::thread([this] { acceptLoop(); });
    m_receiveThread = std::thread([this] { receiveLoop(); });
}

void PeerReceiver::stop()
{
    if (m_stopping.exchange(true) || !m_acceptThread.joinable())
        return;
    m_server.terminateAccept();
    m_acceptThread.join();
    m_receiveThread.join();
    m_links.clear();
}

void PeerReceiver::acceptLoop()
{
    while (!m_stopping) {
        try {
            auto socket = std::make_shared<cxxtools::net::TcpSocket>();
            socket->accept(m_server);
            ++m_counters.connectionsAccepted;
            // The accepting thread alone fills the ring, so it cannot become full after the look.
            if (m_accepted.size() < acceptedCapacity)
                m_accepted.push(socket);
            else
                ++m_counters.connectionsRefused;
        } catch (const cxxtools::net::AcceptTerminated&) {
            return;
        } catch (const std::exception& error) {
            LogEvent("peer_accept_failed", LogLevel::Warning).with("error", error.what());
            std::this_thread::sleep_for(acceptRetryDelay);
        }
    }
}

void PeerReceiver::receiveLoop()
{
    const auto clock = monotonicClock();
    while (!m_stopping) {
        while (m_accepted.size() > 0) {
            if (auto socket = m_accepted.pop(0))
                admit(std::move(*socket), clock());
        }
        waitForBytes();
        receiveAll(clock());
    }
}

void PeerReceiver::admit(SocketPointer socket, MonotonicTime now)
{
    const auto unproved = [](const InboundLink& link) { return !link.proved(); };
    const auto waiting = static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), unproved));
    if (waiting >= maxUnprovedLinks) {
        // The oldest stranger makes room, so that strangers cannot keep peers out.
        m_links.erase(std::find_if(m_links.begin(), m_links.end(), unproved));
        ++m_counters.connectionsRefused;
    }
    if (m_links.size() >= maxLinks) {
        ++m_counters.connectionsRefused;
        return;
    }
    m_links.emplace_back(std::move(socket), m_self, now);
    if (!m_links.back().sendChallenge())
        m_links.pop_back();
}

void PeerReceiver::waitForBytes()
{
    std::vector<pollfd> waiting;
    waiting.reserve(m_links.size());
    for (const auto& link : m_links)
        waiting.push_back({ link.descriptor(), POLLIN, 0 });
    ::poll(waiting.data(), waiting.size(), pollTimeoutMs);
}

void PeerReceiver::receiveAll(MonotonicTime now)
{
    const auto received = [this](const std::string& frame) { passOn(frame); };
    for (auto link = m_links.begin(); link != m_links.end();) {
        bool keep = link->receive(m_keys, m_counters, received, now);
        if (keep && link->expired(now)) {
            keep = false;
            if (!link->proved())
                ++m_counters.connectionsRefused;
        }
        link = keep ? std::next(link) : m_links.erase(link);
    }
}

void PeerReceiver::passOn(const std::string& frame)
{
    // The receiving thread alone fills the ring, so it cannot become full after the look.
    if (m_frames.size() < m_frameCapacity)
        m_frames.push(frame);
    else
        ++m_counters.framesDropped;
}

} // namespace almondscale
