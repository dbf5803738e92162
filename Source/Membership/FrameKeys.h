#pragma once

#include <string>

namespace almondscale {

// The shared keys of the peers' port. Two are accepted at once, so that keys can be changed host by host.
struct FrameKeys {
    // Signs what this host sends and is accepted from peers.
    std::string signing;
    // Accepted from peers as well; may be empty.
    std::string alsoAccepted;
};

} // namespace almondscale
