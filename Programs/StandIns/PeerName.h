#pragma once

#include <string>

namespace almondscale::standin {

// The IP:PORT at the other end of a socket; empty if it is not connected.
std::string peerName(int socket);

// Whether the other end of a socket has closed it.
bool peerGone(int socket, int timeoutMs);

} // namespace almondscale::standin
