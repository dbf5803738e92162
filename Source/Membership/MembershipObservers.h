#pragma once

#include "Membership/Member.h"
#include "Membership/SharedItem.h"

#include <functional>

namespace almondscale {

// Who is told of changes; called one at a time from the service's own thread, and must not wait long.
struct MembershipObservers {
    std::function<void(const Member&)> memberChanged;
    std::function<void(const SharedItem&)> itemChanged;
    std::function<void(const Member&)> rulesChanged;
};

} // namespace almondscale
