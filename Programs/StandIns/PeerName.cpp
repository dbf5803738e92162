#include "StandIns/PeerName.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace almondscale::standin {

std::string peerName(int socket)
{
    sockaddr_in peer {};
    socklen_t length = sizeof peer;
    if (::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) != 0)
        return {};
    char ip[INET_ADDRSTRLEN] {};
    ::inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof ip);
    return std::string(ip) + ":" + std::to_string(ntohs(peer.sin_port));
}

bool peerGone(int socket, int timeoutMs)
{
    pollfd state { socket, POLLRDHUP, 0 };
    if (::poll(&state, 1, timeoutMs) <= 0)
        return false;
    return (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

} // namespace almondscale::standin
