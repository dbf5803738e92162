#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

// An IPv4 address and a port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    bool empty() const { return ip.empty(); }

    friend bool operator==(const Address& a, const Address& b) { return a.ip == b.ip && a.port == b.port; }
    friend bool operator!=(const Address& a, const Address& b) { return !(a == b); }
    friend bool operator<(const Address& a, const Address& b)
    {
        return a.ip < b.ip || (a.ip == b.ip && a.port < b.port);
    }
};

// Parses "IP:PORT" with a numeric IPv4 address and a port from 1 to 65535. Host names are not
// accepted.
std::optional<Address> parseAddress(const std::string&);

} // namespace almondscale
