#include "Http/HttpServer.h"

#include "Http/HandlerService.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace almondscale {

namespace {

    cxxtools::Milliseconds toMilliseconds(Nanoseconds duration)
    {
        return cxxtools::Milliseconds(
            static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

    // Keeps the read timeout of cxxtools, which closes without a response, behind the body timeout.
    constexpr auto bodyTimeoutMargin = std::chrono::seconds(1);

} // namespace

class HttpServer::Impl {
public:
    Impl(const Address& address, HttpHandler handler, const HttpLimits& limits)
        : m_address(address)
        , m_service(std::move(handler), limits)
        , m_server(m_loop)
    {
        if (m_address.port == 0)
            m_address.port = freePort(m_address.ip);
        m_server.minThreads(2);
        m_server.maxThreads(limits.maxThreads);
        m_server.readTimeout(toMilliseconds(limits.bodyTimeout + bodyTimeoutMargin));
        m_server.writeTimeout(toMilliseconds(limits.writeTimeout));
        m_server.keepAliveTimeout(toMilliseconds(limits.keepAliveTimeout));
        m_server.addService(cxxtools::Regex(".*"), m_service);
        m_server.listen(m_address.ip, m_address.port);
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~Impl() { stop(); }

    const Address& address() const { return m_address; }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_loop.exit();
        m_thread.join();
    }

private:
    Address m_address;
    cxxtools::EventLoop m_loop;
    HandlerService m_service;
    cxxtools::http::Server m_server;
    std::thread m_thread;
};

HttpServer::HttpServer(const Address& address, HttpHandler handler, HttpLimits limits)
    : m_impl(std::make_unique<Impl>(address, std::move(handler), limits))
{
}

HttpServer::~HttpServer() = default;

const Address& HttpServer::address() const { return m_impl->address(); }

void HttpServer::stop() { m_impl->stop(); }

std::uint16_t freePort(const std::string& ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    auto* socketAddress = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    const bool bound = ::bind(descriptor, socketAddress, size) == 0
        && ::getsockname(descriptor, socketAddress, &size) == 0;
    ::close(descriptor);
    if (!bound)
        throw std::system_error(errno, std::generic_category(), "cannot bind a free port on " + ip);
    return ntohs(address.sin_port);
}

} // namespace almondscale
