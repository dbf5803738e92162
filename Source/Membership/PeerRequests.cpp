#include "Membership/PeerRequests.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace almondscale {

namespace {

    constexpr std::size_t maxWaiting = 64;
    constexpr std::size_t pieceBytes = 32768;
    constexpr std::size_t maxAnswerBytes = 4194304;
    constexpr auto repeatGap = std::chrono::milliseconds(300);
    constexpr auto progressTimeout = std::chrono::milliseconds(1500);

} // namespace

PeerRequests::PeerRequests(Send send)
    : m_send(std::move(send))
{
}

void PeerRequests::ask(
    const HostId& peer, const Address& address, const std::string& topic, Done done, MonotonicTime now)
{
    if (m_waiting.size() >= maxWaiting) {
        done(ErrorKind::LimitExceeded);
        return;
    }
    const auto sequence = ++m_sequence;
    auto& waiting = m_waiting[sequence];
    waiting.peer = peer;
    waiting.address = address;
    waiting.topic = topic;
    waiting.done = std::move(done);
    waiting.failAt = now + progressTimeout;
    sendRequest(sequence, waiting, now);
}

void PeerRequests::sendRequest(std::uint64_t sequence, Waiting& waiting, MonotonicTime now)
{
    waiting.repeatAt = now + repeatGap;
    Frame frame;
    frame.kind = FrameKind::Request;
    frame.sequence = sequence;
    frame.topic = waiting.topic;
    frame.offset = static_cast<std::uint32_t>(waiting.received.size());
    m_send(waiting.address, frame);
}

void PeerRequests::onReply(const Frame& frame, MonotonicTime now)
{
    const auto found = m_waiting.find(frame.sequence);
    if (found == m_waiting.end() || found->second.peer != frame.sender.host)
        return;
    auto& waiting = found->second;
    if (frame.total == 0 || frame.total > maxAnswerBytes) {
        finish(frame.sequence, frame.total == 0 ? ErrorKind::NotFound : ErrorKind::FrameInvalid);
        return;
    }
    if (!append(waiting, frame))
        return;
    waiting.failAt = now + progressTimeout;
    if (waiting.received.size() < frame.total) {
        sendRequest(frame.sequence, waiting, now);
        return;
    }
    const auto answer = std::move(waiting.received);
    finish(frame.sequence, answer);
}

// False for a piece that is repeated or of no use.
bool PeerRequests::append(Waiting& waiting, const Frame& frame)
{
    if (frame.answerHash != waiting.answerHash) {
        // The peer's answer has changed meanwhile.
        waiting.received.clear();
        waiting.answerHash = frame.answerHash;
    }
    const bool fits = frame.body.size() <= frame.total - std::min<std::size_t>(frame.total, frame.offset);
    if (frame.offset != waiting.received.size() || frame.body.empty() || !fits)
        return false;
    waiting.received += frame.body;
    return true;
}

void PeerRequests::tick(MonotonicTime now)
{
    std::vector<std::uint64_t> failed;
    for (auto& [sequence, waiting] : m_waiting) {
        if (now >= waiting.failAt)
            failed.push_back(sequence);
        else if (now >= waiting.repeatAt)
            sendRequest(sequence, waiting, now);
    }
    for (const auto sequence : failed)
        finish(sequence, ErrorKind::PeerUnreachable);
}

void PeerRequests::finish(std::uint64_t sequence, const Result<std::string>& result)
{
    const auto done = std::move(m_waiting[sequence].done);
    m_waiting.erase(sequence);
    done(result);
}

void PeerRequests::fillReply(Frame& frame, const std::string& answer, std::size_t offset)
{
    frame.total = static_cast<std::uint32_t>(answer.size());
    frame.answerHash = XXH64(answer.data(), answer.size(), 0);
    frame.offset = static_cast<std::uint32_t>(offset);
    if (offset < answer.size())
        frame.body = answer.substr(offset, pieceBytes);
}

} // namespace almondscale
