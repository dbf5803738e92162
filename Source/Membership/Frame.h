#pragma once

#include "Membership/MemberRecord.h"
#include "Membership/SharedItem.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

enum class FrameKind {
    // Asks the receiver for an Ack.
    Ping,
    Ack,
    // Asks the receiver to ping a third host.
    PingRequest,
    // Carries news at once.
    Push,
    // Carries a hash for each host, so that the receiver answers with what differs.
    Digest,
    // Carries the records and items that differ.
    State,
    // Asks for a piece of what the receiver holds under a topic.
    Request,
    Reply,
};

// How long ago a host of the sender's data centre had an answer from another data centre.
struct ContactAge {
    // The hash of the data centre's name.
    std::uint32_t dataCentre = 0;
    std::uint32_t ageMs = 0;
};

// A hash over all that the sender knows of one host.
struct HostDigest {
    std::uint64_t host = 0;
    std::uint32_t hash = 0;
};

// One message between hosts.
struct Frame {
    FrameKind kind = FrameKind::Ping;
    std::uint64_t sequence = 0;
    MemberRecord sender;
    // Ping and PingRequest: the host to probe. Ack: the host that answered.
    HostId target;
    // PingRequest: where the host to probe is.
    Address subject;
    // Ping: the sender gave up its former connection; the receiver should open a new one for the answer.
    bool reconnect = false;
    // Ping: a hash over all that the sender knows, and over what travels between data centres.
    std::uint64_t view = 0;
    std::uint64_t everywhereView = 0;
    // Digest: only the hosts of the sender's data centre are named.
    bool partial = false;
    std::vector<MemberRecord> members;
    std::vector<SharedItem> items;
    std::vector<ContactAge> contacts;
    std::vector<HostDigest> digests;
    std::vector<std::uint64_t> wanted;
    // Request and Reply.
    std::string topic;
    std::uint32_t offset = 0;
    // Reply: the bytes of the whole answer, 0 if there is none.
    std::uint32_t total = 0;
    std::uint64_t answerHash = 0;
    std::string body;
};

} // namespace almondscale
