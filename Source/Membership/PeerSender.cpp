#include "Membership/PeerSender.h"

#include <utility>

namespace almondscale {

namespace {

    constexpr std::size_t maxLinks = 1024;
    constexpr int frameWaitMs = 5;

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
    m_links.clear();
}

void PeerSender::sendLoop()
{
    const auto clock = monotonicClock();
    while (!m_stopping) {
        auto frame = m_frames.pop(frameWaitMs);
        while (frame) {
            take(std::move(*frame), clock());
            frame = m_frames.pop(0);
        }
        stepAll(clock());
    }
    // What was handed over before the stop still gets its try.
    while (auto frame = m_frames.pop(0))
        take(std::move(*frame), clock());
    stepAll(clock());
}

void PeerSender::take(OutgoingFrame frame, MonotonicTime now)
{
    auto link = m_links.find(frame.to);
    if (link == m_links.end()) {
        if (frame.frame.empty())
            return;
        if (m_links.size() >= maxLinks) {
            ++m_counters.framesDropped;
            return;
        }
        link = m_links.try_emplace(frame.to, frame.to, m_counters).first;
    }
    if (frame.reconnect)
        link->second.reconnect();
    if (!frame.frame.empty())
        link->second.enqueue(std::move(frame.frame), now);
}

void PeerSender::stepAll(MonotonicTime now)
{
    for (auto link = m_links.begin(); link != m_links.end();) {
        link->second.step(m_keys, now);
        link = link->second.idle(now) ? m_links.erase(link) : std::next(link);
    }
}

} // namespace almondscale
