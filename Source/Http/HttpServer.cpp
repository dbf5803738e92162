#include "Http/HttpServer.h"

#include "Core/Deadline.h"
#include "Core/LogEvent.h"
#include "Http/ErrorResponse.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace almondscale {

namespace {

    using Socket = cxxtools::net::TcpSocket;

    cxxtools::Milliseconds milliseconds(Nanoseconds duration)
    {
        return cxxtools::Milliseconds(
            static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    std::string headerText(const HttpResponse& response, const char* framing)
    {
        std::string text = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
        text += "Content-Type: " + response.contentType + "\r\n";
        for (const auto& [name, value] : response.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        return text + framing + "Connection: close\r\n\r\n";
    }

    std::string chunk(const std::string& piece)
    {
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        return size + piece + "\r\n";
    }

    // Writes the whole text, or tells that the caller is gone or does not read.
    bool writeAll(Socket& socket, const std::string& text)
    {
        try {
            std::size_t done = 0;
            while (done < text.size())
                done += socket.write(text.data() + done, text.size() - done);
            return true;
        } catch (const std::exception&) {
            return false;
        }
    }

    bool peerClosed(const Socket& socket)
    {
        pollfd descriptor { socket.getFd(), POLLRDHUP, 0 };
        if (::poll(&descriptor, 1, 0) <= 0)
            return false;
        return (descriptor.revents & (POLLHUP | POLLERR)) != 0;
    }

    // The library reads a malformed length as 0 and takes the body for further requests.
    bool contentLengthIsValid(const cxxtools::http::Request& request)
    {
        int seen = 0;
        for (const auto& [name, value] : request.header()) {
            if (lowerCase(name) != "content-length")
                continue;
            const std::string text = value;
            if (++seen > 1 || text.empty() || text.find_first_not_of("0123456789") != std::string::npos)
                return false;
        }
        return true;
    }

    class HandlerService;

    // Carries one request of the library to the handler and back.
    class HandlerResponder : public cxxtools::http::Responder {
    public:
        explicit HandlerResponder(HandlerService&);

        void beginRequest(Socket&, std::istream&, cxxtools::http::Request&) override;
        std::size_t readBody(std::istream&) override;
        void reply(std::ostream&, cxxtools::http::Request&, cxxtools::http::Reply&) override;
        void replyError(
            std::ostream&, cxxtools::http::Request&, cxxtools::http::Reply&, const std::exception&) override;

    private:
        HttpRequest takeRequest(cxxtools::http::Request&) const;
        void sendWhole(const HttpResponse&, std::ostream&, cxxtools::http::Reply&) const;

        HandlerService& m_service;
        Socket* m_socket = nullptr;
        std::string m_body;
        std::size_t m_length = 0;
        Deadline m_bodyDeadline;
        ErrorKind m_refusal = ErrorKind::None;
    };

    class HandlerService : public cxxtools::http::Service {
    public:
        HandlerService(HttpHandler handler, const HttpLimits& limits)
            : m_handler(std::move(handler))
            , m_limits(limits)
        {
        }

        const HttpHandler& handler() const { return m_handler; }
        const HttpLimits& limits() const { return m_limits; }

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
        {
            return new HandlerResponder(*this);
        }
        void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

    private:
        HttpHandler m_handler;
        HttpLimits m_limits;
    };

    HandlerResponder::HandlerResponder(HandlerService& service)
        : cxxtools::http::Responder(service)
        , m_service(service)
    {
    }

    void HandlerResponder::beginRequest(Socket& socket, std::istream&, cxxtools::http::Request& request)
    {
        m_socket = &socket;
        m_body.clear();
        m_refusal = ErrorKind::None;
        const HttpLimits& limits = m_service.limits();
        m_bodyDeadline = Deadline::after(monotonicClock()(), limits.bodyTimeout);
        // The library would take the chunks of the body for further requests.
        m_length = request.header().contentLength();
        if (request.hasHeader("Transfer-Encoding"))
            m_refusal = ErrorKind::LengthRequired;
        else if (!contentLengthIsValid(request))
            m_refusal = ErrorKind::BadRequest;
        else if (m_length > static_cast<std::size_t>(limits.maxBody.count()))
            m_refusal = ErrorKind::BodyTooLarge;
        if (m_refusal != ErrorKind::None)
            throw std::runtime_error(errorWord(m_refusal));
    }

    std::size_t HandlerResponder::readBody(std::istream& in)
    {
        if (m_bodyDeadline.passed(monotonicClock()())) {
            m_refusal = ErrorKind::RequestTimeout;
            throw std::runtime_error(errorWord(m_refusal));
        }
        std::streambuf* buffer = in.rdbuf();
        if (buffer->in_avail() <= 0)
            return 0;
        // Bytes after the body belong to the next request of a pipelining caller.
        const std::size_t before = m_body.size();
        const std::size_t wanted = std::min(static_cast<std::size_t>(buffer->in_avail()), m_length - before);
        m_body.resize(before + wanted);
        const auto count
            = static_cast<std::size_t>(buffer->sgetn(&m_body[before], static_cast<std::streamsize>(wanted)));
        m_body.resize(before + count);
        return count;
    }

    HttpRequest HandlerResponder::takeRequest(cxxtools::http::Request& source) const
    {
        HttpRequest request;
        request.method = source.method();
        request.path = source.url();
        request.query = source.qparams();
        for (const auto& [name, value] : source.header())
            request.headers[lowerCase(name)] = value;
        request.body = m_body;
        request.peer = m_socket->getPeerAddr();
        return request;
    }

    void HandlerResponder::sendWhole(
        const HttpResponse& response, std::ostream& out, cxxtools::http::Reply& reply) const
    {
        reply.httpReturn(static_cast<unsigned>(response.status), "-");
        reply.setHeader("Content-Type", response.contentType.c_str());
        for (const auto& [name, value] : response.headers)
            reply.setHeader(name.c_str(), value.c_str());
        out << response.body;
    }

    void HandlerResponder::reply(
        std::ostream& out, cxxtools::http::Request& source, cxxtools::http::Reply& reply)
    {
        const HttpRequest request = takeRequest(source);
        bool streaming = false;
        bool streamBroken = false;
        ReplyWriter writer;
        writer.send = [&](const HttpResponse& response) { sendWhole(response, out, reply); };
        writer.beginStream = [&](const HttpResponse& response) {
            streaming = true;
            const std::string first = response.body.empty() ? std::string() : chunk(response.body);
            streamBroken
                = !writeAll(*m_socket, headerText(response, "Transfer-Encoding: chunked\r\n") + first);
            return !streamBroken;
        };
        writer.write = [&](const std::string& piece) {
            if (!streamBroken && !piece.empty())
                streamBroken = !writeAll(*m_socket, chunk(piece));
            return !streamBroken;
        };
        writer.callerGone = [&] { return streamBroken || peerClosed(*m_socket); };
        try {
            m_service.handler()(request, writer);
        } catch (const std::exception& error) {
            LogEvent("handler_failed", LogLevel::Error)
                .with("path", request.path)
                .with("error", error.what());
            if (streaming)
                streamBroken = true;
            else
                writer.send(errorResponse(ErrorKind::Internal));
        }
        if (!streaming)
            return;
        // A stream that ended early must not look complete, so it gets no last chunk.
        if (!streamBroken)
            writeAll(*m_socket, "0\r\n\r\n");
        m_socket->close();
    }

    void HandlerResponder::replyError(
        std::ostream& out, cxxtools::http::Request&, cxxtools::http::Reply& reply, const std::exception&)
    {
        const ErrorKind kind = m_refusal == ErrorKind::None ? ErrorKind::BadRequest : m_refusal;
        sendWhole(errorResponse(kind), out, reply);
        reply.setHeader("Connection", "close");
    }

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
        m_server.readTimeout(milliseconds(limits.idleTimeout));
        m_server.writeTimeout(milliseconds(limits.idleTimeout));
        m_server.keepAliveTimeout(milliseconds(limits.keepAliveTimeout));
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
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    const bool bound
        = ::bind(descriptor, generic, size) == 0 && ::getsockname(descriptor, generic, &size) == 0;
    ::close(descriptor);
    if (!bound)
        throw std::system_error(errno, std::generic_category(), "no free port on " + ip);
    return ntohs(address.sin_port);
}

} // namespace almondscale
