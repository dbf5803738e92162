#pragma once

#include "Core/Address.h"
#include "Core/HostId.h"
#include "Core/MonotonicTime.h"
#include "Core/Result.h"
#include "Membership/Frame.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace almondscale {

// The requests of this host to its peers that wait for answers. Answers come in pieces that fit into frames;
// a lost piece is asked for again.
class PeerRequests {
public:
    using Done = std::function<void(Result<std::string>)>;
    using Send = std::function<void(const Address&, const Frame&)>;

    explicit PeerRequests(Send);

    // Ends in the answer, NotFound if the peer has none, or PeerUnreachable if it does not answer in time.
    // LimitExceeded if too many requests wait.
    void ask(const HostId& peer, const Address&, const std::string& topic, Done, MonotonicTime now);
    void onReply(const Frame&, MonotonicTime now);
    void tick(MonotonicTime now);

    // Fills in the piece of the answer that begins at the offset.
    static void fillReply(Frame&, const std::string& answer, std::size_t offset);

private:
    struct Waiting {
        HostId peer;
        Address address;
        std::string topic;
        std::string received;
        // A hash of the whole answer, so that pieces of two answers are not mixed.
        std::uint64_t answerHash = 0;
        MonotonicTime repeatAt;
        MonotonicTime failAt;
        Done done;
    };

    void sendRequest(std::uint64_t sequence, Waiting&, MonotonicTime now);
    void finish(std::uint64_t sequence, const Result<std::string>&);
    static bool append(Waiting&, const Frame&);

    Send m_send;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, Waiting> m_waiting;
};

} // namespace almondscale
