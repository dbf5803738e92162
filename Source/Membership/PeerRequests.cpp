#include "Membership/PeerRequests.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace almondscale {

namespace {

    constexpr std::size_t maxPending = 64;
    constexpr std::size_t chunkBytes = 32768;
    constexpr std::size_t maxReplyBytes = 4194304;
    constexpr auto retryInterval = std::chrono::milliseconds(300);
    constexpr auto progressTimeout = std::chrono::milliseconds(1500);

} // namespace

PeerRequests::PeerRequests(Send send)
    : m_send(std::move(send))
{
}

void PeerRequests::start(
    const HostId& peer, const Address& address, const std::string& topic, Done done, MonotonicTime now)
{
    if (m_pending.size() >= maxPending) {
        done(ErrorKind::LimitExceeded);
        return;
    }
    const auto sequence = ++m_sequence;
    auto& pending = m_pending[sequence];
    pending.peer = peer;
    pending.address = address;
    pending.topic = topic;
    pending.done = std::move(done);
    pending.deadline = now + progressTimeout;
    sendRequest(sequence, pending, now);
}

void PeerRequests::sendRequest(std::uint64_t sequence, Pending& pending, MonotonicTime now)
{
    pending.retryAt = now + retryInterval;
    Frame frame;
    frame.kind = FrameKind::Request;
    frame.sequence = sequence;
    frame.topic = pending.topic;
    frame.offset = static_cast<std::uint32_t>(pending.received.size());
    m_send(pending.address, frame);
}

void PeerRequests::onReply(const Frame& frame, MonotonicTime now)
{
    const auto found = m_pending.find(frame.sequence);
    if (found == m_pending.end() || found->second.peer != frame.sender.host)
        return;
    auto& pending = found->second;
    if (frame.total == 0 || frame.total > maxReplyBytes) {
        finish(frame.sequence, frame.total == 0 ? ErrorKind::NotFound : ErrorKind::FrameInvalid);
        return;
    }
    if (!appendChunk(pending, frame))
        return;
    pending.deadline = now + progressTimeout;
    if (pending.received.size() < frame.total) {
        sendRequest(frame.sequence, pending, now);
        return;
    }
    const auto content = std::move(pending.received);
    finish(frame.sequence, content);
}

// Returns false for a chunk that is a duplicate, out of order, empty or too long.
bool PeerRequests::appendChunk(Pending& pending, const Frame& frame)
{
    if (frame.answerHash != pending.answerHash) {
        // The content changed on the peer since the previous chunk.
        pending.received.clear();
        pending.answerHash = frame.answerHash;
    }
    const bool fits = frame.body.size() <= frame.total - std::min<std::size_t>(frame.total, frame.offset);
    if (frame.offset != pending.received.size() || frame.body.empty() || !fits)
        return false;
    pending.received += frame.body;
    return true;
}

void PeerRequests::tick(MonotonicTime now)
{
    std::vector<std::uint64_t> failed;
    for (auto& [sequence, pending] : m_pending) {
        if (now >= pending.deadline)
            failed.push_back(sequence);
        else if (now >= pending.retryAt)
            sendRequest(sequence, pending, now);
    }
    for (const auto sequence : failed)
        finish(sequence, ErrorKind::PeerUnreachable);
}

void PeerRequests::finish(std::uint64_t sequence, const Result<std::string>& result)
{
    const auto done = std::move(m_pending[sequence].done);
    m_pending.erase(sequence);
    done(result);
}

void PeerRequests::fillReply(Frame& frame, const std::string& content, std::size_t offset)
{
    frame.total = static_cast<std::uint32_t>(content.size());
    frame.answerHash = XXH64(content.data(), content.size(), 0);
    frame.offset = static_cast<std::uint32_t>(offset);
    if (offset < content.size())
        frame.body = content.substr(offset, chunkBytes);
}

} // namespace almondscale
