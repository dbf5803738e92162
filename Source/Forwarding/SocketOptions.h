#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Forwarding/Asio.h"

namespace almondscale {

// The address for a socket; an error if its IP is no number of version 4.
tcp::endpoint endpointOf(const Address&, boost::system::error_code&);

// Sends without delay, and breaks the connection when the other side acknowledges
// nothing for so long.
std::error_code tuneSocket(tcp::socket&, Nanoseconds tcpUserTimeout);

} // namespace almondscale
