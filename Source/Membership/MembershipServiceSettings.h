#pragma once

#include "Core/Address.h"
#include "Membership/FrameKeys.h"
#include "Membership/MembershipSettings.h"

namespace almondscale {

// What a running membership service needs to know.
struct MembershipServiceSettings {
    MembershipSettings membership;
    // Where to listen; the address in `membership` is the one that peers use.
    Address listen;
    FrameKeys keys;
};

} // namespace almondscale
