#pragma once

#include <string>

namespace almondscale {

// The shared keys of the peer port. Two keys can be accepted at a time, so that a key can be replaced host by
// host.
struct FrameKeys {
    // Signs outgoing frames; frames from peers that are signed with it are accepted.
    std::string signing;
    // A further key that is accepted from peers but does not sign; may be empty.
    std::string verifyOnly;
};

} // namespace almondscale
