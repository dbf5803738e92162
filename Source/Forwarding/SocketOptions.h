#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Forwarding/Asio.h"

namespace almondscale {

// Converts the address to an endpoint. Sets the error if the IP is not a numeric IPv4 address.
tcp::endpoint endpointOf(const Address&, boost::system::error_code&);

// Sets TCP_NODELAY, and TCP_USER_TIMEOUT: the time after which the kernel breaks a connection
// whose sent data is not acknowledged.
std::error_code tuneSocket(tcp::socket&, Nanoseconds tcpUserTimeout);

} // namespace almondscale
