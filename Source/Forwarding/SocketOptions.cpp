#include "Forwarding/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace almondscale {

tcp::endpoint endpointOf(const Address& address, boost::system::error_code& error)
{
    return { boost::asio::ip::make_address_v4(address.ip, error), address.port };
}

std::error_code tuneSocket(tcp::socket& socket, Nanoseconds tcpUserTimeout)
{
    boost::system::error_code ignored;
    // Not fatal: without it small writes are only delayed.
    socket.set_option(tcp::no_delay(true), ignored);
    const int milliseconds
        = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(tcpUserTimeout).count());
    if (setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds)
        != 0)
        return { errno, std::generic_category() };
    return {};
}

} // namespace almondscale
