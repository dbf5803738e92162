#pragma once

#include "Core/Address.h"
#include "Http/HttpHandler.h"
#include "Http/HttpLimits.h"

#include <memory>

namespace almondscale {

// Serves HTTP on one address, with bounds on what a caller can take.
class HttpServer {
public:
    // Listens at once and throws std::system_error if the address cannot be had.
    HttpServer(const Address&, HttpHandler, HttpLimits = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // The address in use; port 0 in the constructor takes a free port.
    const Address& address() const;

    // Stops accepting and ends the threads; waits for running handlers.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// A port of the IP number that no process listens on now.
std::uint16_t freePort(const std::string& ip);

} // namespace almondscale
