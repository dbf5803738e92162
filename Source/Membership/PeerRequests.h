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

// Outstanding requests of this host to its peers. The content of a reply arrives in chunks that fit into
// frames; a chunk that does not arrive is requested again.
class PeerRequests {
public:
    using Done = std::function<void(Result<std::string>)>;
    using Send = std::function<void(const Address&, const Frame&)>;

    explicit PeerRequests(Send);

    // Calls `done` with the content, or with NotFound if the peer has none under the topic, PeerUnreachable
    // if no new chunk arrives in time, FrameInvalid if the peer announces an oversized reply, or
    // LimitExceeded if too many requests are outstanding.
    void start(const HostId& peer, const Address&, const std::string& topic, Done, MonotonicTime now);
    void onReply(const Frame&, MonotonicTime now);
    void tick(MonotonicTime now);

    // Fills in the chunk of the content that begins at the offset. An empty content means that there is none.
    static void fillReply(Frame&, const std::string& content, std::size_t offset);

private:
    struct Pending {
        HostId peer;
        Address address;
        std::string topic;
        std::string received;
        // Hash of the complete content, so that chunks of different versions are not mixed.
        std::uint64_t answerHash = 0;
        MonotonicTime retryAt;
        MonotonicTime deadline;
        Done done;
    };

    void sendRequest(std::uint64_t sequence, Pending&, MonotonicTime now);
    void finish(std::uint64_t sequence, const Result<std::string>&);
    static bool appendChunk(Pending&, const Frame&);

    Send m_send;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, Pending> m_pending;
};

} // namespace almondscale
