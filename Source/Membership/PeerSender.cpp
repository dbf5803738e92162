#include "Membership/PeerSender.h"

#include <utility>

namespace almondscale {

namespace {

    constexpr std::size_t maxConnections = 1024;
    constexpr int framePollTimeoutMs = 5;

} // namespace

PeerSender::PeerSender(
    const FrameAuthenticator& keys, TransportCounters& counters, BoundedQueue<OutgoingFrame>& frames)
    : m_keys(keys)
    , m_counters(counters)
    , m_frames(frames)
{
}

PeerSender::~PeerSender() { stop(); }

void PeerSender::start()
{
    m_thread = std::thread([this] { sendLoop(); });
}

void PeerSender::stop()
{
    if (m_stopping.exchange(true) || !m_thread.joinable())
        return;
    m_thread.join();
    m_connections.clear();
}

void PeerSender::sendLoop()
{
    const auto clock = monotonicClock();
    while (!m_stopping) {
        auto frame = m_frames.pop(framePollTimeoutMs);
        while (frame) {
            enqueue(std::move(*frame), clock());
            frame = m_frames.pop(0);
        }
        stepConnections(clock());
    }
    // Makes one attempt to send the frames that were queued before the stop.
    while (auto frame = m_frames.pop(0))
        enqueue(std::move(*frame), clock());
    stepConnections(clock());
}

void PeerSender::enqueue(OutgoingFrame frame, MonotonicTime now)
{
    auto connection = m_connections.find(frame.to);
    if (connection == m_connections.end()) {
        if (frame.frame.empty())
            return;
        if (m_connections.size() >= maxConnections) {
            ++m_counters.framesDropped;
            return;
        }
        connection = m_connections.try_emplace(frame.to, frame.to, m_counters).first;
    }
    if (frame.reconnect)
        connection->second.reconnect();
    if (!frame.frame.empty())
        connection->second.enqueue(std::move(frame.frame), now);
}

void PeerSender::stepConnections(MonotonicTime now)
{
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        connection->second.step(m_keys, now);
        connection = connection->second.idle(now) ? m_connections.erase(connection) : std::next(connection);
    }
}

} // namespace almondscale
