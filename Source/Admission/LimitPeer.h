#pragma once

#include "Core/HostId.h"

namespace almondscale {

// A host among which the limits are shared, this one included.
struct LimitPeer {
    HostId host;
    // A host that is cut off stays in the list: it keeps its last share.
    bool reachable = true;
};

} // namespace almondscale
