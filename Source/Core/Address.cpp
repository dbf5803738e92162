#include "Core/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace almondscale {

std::optional<Address> parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const std::string ip = text.substr(0, colon);
    in_addr parsed {};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    if (result.ec != std::errc() || result.ptr != end || port == 0)
        return std::nullopt;
    return Address { ip, port };
}

} // namespace almondscale
