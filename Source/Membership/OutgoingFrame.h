#pragma once

#include "Core/Address.h"

#include <string>

namespace almondscale {

// A send or reconnect command from the membership protocol to the sender thread.
struct OutgoingFrame {
    Address to;
    // Empty for a command that only closes the connection.
    std::string frame;
    // Closes the open connection to the peer first.
    bool reconnect = false;
};

} // namespace almondscale
