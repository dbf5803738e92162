#pragma once

#include "Core/MonotonicTime.h"
#include "Core/RandomSource.h"
#include "Membership/Member.h"
#include "Membership/PeerRequest.h"
#include "Membership/SharedItem.h"

#include <functional>
#include <string>

namespace almondscale {

// The environment of the membership protocol: time, randomness, transport, and callbacks for changes.
struct MembershipHooks {
    Clock clock;
    RandomSource random;
    // Sends a frame without blocking; the frame may be lost.
    std::function<void(const Address&, const std::string& bytes)> send;
    // Closes the open connection to a peer that does not respond; may be empty.
    std::function<void(const Address&)> reconnect;
    // A member was discovered, or its record or reachability changed; may be empty.
    std::function<void(const Member&)> memberChanged;
    // A peer's item changed or was removed; may be empty.
    std::function<void(const SharedItem&)> itemChanged;
    // A peer requests content; reply with Membership::reply(). May be empty.
    std::function<void(const PeerRequest&)> requestReceived;
    // A live peer announced a higher rules version than the one in force here. Called for every such frame,
    // so that a failed pull can be retried. May be empty.
    std::function<void(const Member&)> newerRulesSeen;
};

} // namespace almondscale
