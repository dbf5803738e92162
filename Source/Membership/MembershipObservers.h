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
    std::function<void(const Member&)> rulesChanged;
    // Gives what this host holds under a topic that a peer asks for; empty if there is nothing.
    std::function<std::string(const std::string& topic)> answer;
};

} // namespace almondscale
