#pragma once

#include "Core/HostId.h"

namespace almondscale {

// A host that shares the rate limits. The list of peers includes this host.
struct LimitPeer {
    HostId host;
    // An unreachable host stays in the list, since it keeps using its last share.
    bool reachable = true;
};

} // namespace almondscale
