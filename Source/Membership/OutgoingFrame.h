#pragma once

#include "Core/Address.h"

#include <string>

namespace almondscale {

// What the membership protocol hands to the sending thread.
struct OutgoingFrame {
    Address to;
    // Empty when the connection is only to be given up.
    std::string frame;
    bool reconnect = false;
};

} // namespace almondscale
