#pragma once

#include "Membership/Member.h"
#include "Membership/SharedItem.h"

#include <functional>
#include <string>

namespace almondscale {

// Who is told of changes; called one at a time from the service's own thread, and must not wait long.
struct MembershipObservers {
    std::function<void(const Member&)> memberChanged;
    std::function<void(const SharedItem&)> itemChanged;
    // A peer announced a higher rules version than the one in force here; called repeatedly until this host
    // has caught up.
    std::function<void(const Member&)> newerRulesSeen;
    // Returns the content that this host holds under the topic a peer requests; empty if there is none.
    std::function<std::string(const std::string& topic)> handleRequest;
};

} // namespace almondscale
