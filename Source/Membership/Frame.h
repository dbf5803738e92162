#pragma once

#include "Membership/MemberRecord.h"
#include "Membership/SharedItem.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

enum class FrameKind {
    // Requests an Ack from the receiver.
    Ping,
    Ack,
    // Requests that the receiver ping a third host (indirect probe).
    PingRequest,
    // Carries urgent gossip that does not wait for the next probe.
    Push,
    // Carries a hash for each host; the receiver replies with State frames for the hosts that differ.
    Digest,
    // Carries the records and items of hosts whose hashes differ.
    State,
    // Requests a chunk of the content that the receiver holds under a topic.
    Request,
    Reply,
};

// The time since any host of the sender's data centre last received an ack from another data centre.
struct ContactAge {
    // Hash of the data centre's name.
    std::uint32_t dataCentre = 0;
    std::uint32_t ageMs = 0;
};

// Hash over the record and the items of one host, as the sender knows them.
struct HostDigest {
    // Hash of the host's name.
    std::uint64_t host = 0;
    std::uint32_t hash = 0;
};

// A protocol message between hosts.
struct Frame {
    FrameKind kind = FrameKind::Ping;
    std::uint64_t sequence = 0;
    MemberRecord sender;
    // Ping and PingRequest: the host to probe. Ack: the host that responded.
    HostId target;
    // PingRequest: the address of the host to probe.
    Address subject;
    // Ping: the sender replaced its connection; the receiver should replace its own before sending the ack.
    bool reconnect = false;
    // Ping: hash over all live hosts and their items as the sender knows them, and the same with only the
    // items of scope Everywhere.
    std::uint64_t view = 0;
    std::uint64_t everywhereView = 0;
    // Digest: covers only the hosts of the sender's data centre.
    bool partial = false;
    std::vector<MemberRecord> members;
    std::vector<SharedItem> items;
    std::vector<ContactAge> contacts;
    std::vector<HostDigest> digests;
    // State: hashes of the names of the hosts whose state the sender requests.
    std::vector<std::uint64_t> wanted;
    // Request and Reply.
    std::string topic;
    std::uint32_t offset = 0;
    // Reply: size of the complete content in bytes, 0 if there is none.
    std::uint32_t total = 0;
    // Reply: hash of the complete content.
    std::uint64_t answerHash = 0;
    std::string body;
};

} // namespace almondscale
