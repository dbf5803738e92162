#pragma once

#include "Core/Address.h"
#include "Membership/FrameKeys.h"
#include "Membership/MembershipSettings.h"

namespace almondscale {

// Settings of a membership service.
struct MembershipServiceSettings {
    MembershipSettings membership;
    // The address to listen on; peers connect to the address in `membership`.
    Address listen;
    FrameKeys keys;
};

} // namespace almondscale
