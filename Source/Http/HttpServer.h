#pragma once

#include "Core/Address.h"
#include "Http/HttpHandler.h"
#include "Http/HttpLimits.h"

#include <memory>

namespace almondscale {

// An HTTP server on one address, with resource limits.
class HttpServer {
public:
    // Starts listening. Throws std::system_error if the address cannot be bound.
    HttpServer(const Address&, HttpHandler, HttpLimits = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // The bound address. With port 0 in the constructor, this holds the port that was chosen.
    const Address& address() const;

    // Stops accepting connections and waits for running handlers.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// A TCP port of the IPv4 address that is unused at the time of the call; another process may take it before
// the caller does. Throws std::system_error if none can be bound.
std::uint16_t freePort(const std::string& ip);

} // namespace almondscale
