#pragma once

#include "Membership/Member.h"
#include "Membership/SharedItem.h"

#include <functional>
#include <string>

namespace almondscale {

// Callbacks for changes and requests. They are called one at a time from the service's own thread, may call
// the service except stop(), which joins that thread, and must not block for long, as the protocol does not
// run meanwhile. Each may be empty.
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
