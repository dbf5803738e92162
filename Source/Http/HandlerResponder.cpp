#include "Http/HandlerResponder.h"

#include "Core/LogEvent.h"
#include "Http/ErrorResponse.h"
#include "Http/HandlerService.h"
#include "Http/LowerCase.h"

#include <algorithm>
#include <poll.h>

namespace almondscale {

namespace {

    using Socket = cxxtools::net::TcpSocket;

    std::string serializeHeader(const HttpResponse& response, const char* framing)
    {
        std::string text = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
        text += "Content-Type: " + response.contentType + "\r\n";
        for (const auto& [name, value] : response.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        return text + framing + "Connection: close\r\n\r\n";
    }

    std::string encodeChunk(const std::string& data)
    {
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", data.size());
        return size + data + "\r\n";
    }

    // Returns false if the client has disconnected or does not read.
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

    // cxxtools parses a malformed length as 0 and would parse the body as further requests.
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

} // namespace

HandlerResponder::HandlerResponder(HandlerService& service)
    : cxxtools::http::Responder(service)
    , m_service(service)
{
}

void HandlerResponder::beginRequest(Socket& socket, std::istream&, cxxtools::http::Request& request)
{
    m_socket = &socket;
    m_body.clear();
    m_rejection = ErrorKind::None;
    const HttpLimits& limits = m_service.limits();
    m_bodyTimeoutActive = false;
    m_contentLength = request.header().contentLength();
    // cxxtools does not decode chunked request bodies and would parse the chunks as further requests.
    if (request.hasHeader("Transfer-Encoding"))
        m_rejection = ErrorKind::LengthRequired;
    else if (!contentLengthIsValid(request))
        m_rejection = ErrorKind::BadRequest;
    else if (m_contentLength > static_cast<std::size_t>(limits.maxBody.count()))
        m_rejection = ErrorKind::BodyTooLarge;
    if (m_rejection != ErrorKind::None)
        throw std::runtime_error(errorName(m_rejection));
    m_bodyTimeoutActive = m_contentLength > 0;
    if (m_bodyTimeoutActive)
        m_service.bodyTimeoutMonitor().add(
            this, socket.getFd(), Deadline::after(monotonicClock()(), limits.bodyTimeout));
}

HandlerResponder::~HandlerResponder() { cancelBodyTimeout(); }

bool HandlerResponder::cancelBodyTimeout()
{
    if (!m_bodyTimeoutActive)
        return true;
    m_bodyTimeoutActive = false;
    return m_service.bodyTimeoutMonitor().remove(this);
}

std::size_t HandlerResponder::readBody(std::istream& in)
{
    std::streambuf* buffer = in.rdbuf();
    if (buffer->in_avail() <= 0)
        return 0;
    // Bytes after the body belong to the next pipelined request.
    const std::size_t before = m_body.size();
    const std::size_t wanted
        = std::min(static_cast<std::size_t>(buffer->in_avail()), m_contentLength - before);
    m_body.resize(before + wanted);
    const auto count
        = static_cast<std::size_t>(buffer->sgetn(&m_body[before], static_cast<std::streamsize>(wanted)));
    m_body.resize(before + count);
    return count;
}

HttpRequest HandlerResponder::toHttpRequest(cxxtools::http::Request& source) const
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

void HandlerResponder::sendResponse(
    const HttpResponse& response, std::ostream& out, cxxtools::http::Reply& reply) const
{
    reply.httpReturn(static_cast<unsigned>(response.status), "-");
    reply.setHeader("Content-Type", response.contentType.c_str());
    for (const auto& [name, value] : response.headers)
        reply.setHeader(name.c_str(), value.c_str());
    out << response.body;
}

void HandlerResponder::reply(std::ostream& out, cxxtools::http::Request& source, cxxtools::http::Reply& reply)
{
    if (!cancelBodyTimeout()) {
        m_socket->close();
        return;
    }
    const HttpRequest request = toHttpRequest(source);
    bool streaming = false;
    bool streamBroken = false;
    ReplyWriter writer;
    writer.send = [&](const HttpResponse& response) { sendResponse(response, out, reply); };
    writer.beginStream = [&](const HttpResponse& response) {
        streaming = true;
        const std::string first = response.body.empty() ? std::string() : encodeChunk(response.body);
        streamBroken
            = !writeAll(*m_socket, serializeHeader(response, "Transfer-Encoding: chunked\r\n") + first);
        return !streamBroken;
    };
    writer.write = [&](const std::string& data) {
        if (!streamBroken && !data.empty())
            streamBroken = !writeAll(*m_socket, encodeChunk(data));
        return !streamBroken;
    };
    writer.clientDisconnected = [&] { return streamBroken || peerClosed(*m_socket); };
    try {
        m_service.handler()(request, writer);
    } catch (const std::exception& error) {
        LogEvent("handler_failed", LogLevel::Error).with("path", request.path).with("error", error.what());
        if (streaming)
            streamBroken = true;
        else
            writer.send(errorResponse(ErrorKind::Internal));
    }
    if (!streaming)
        return;
    // Without the last chunk, the client can tell that the stream is incomplete.
    if (!streamBroken)
        writeAll(*m_socket, "0\r\n\r\n");
    m_socket->close();
}

void HandlerResponder::replyError(
    std::ostream& out, cxxtools::http::Request&, cxxtools::http::Reply& reply, const std::exception&)
{
    cancelBodyTimeout();
    const ErrorKind kind = m_rejection == ErrorKind::None ? ErrorKind::BadRequest : m_rejection;
    sendResponse(errorResponse(kind), out, reply);
    reply.setHeader("Connection", "close");
}

cxxtools::http::Responder* HandlerService::createResponder(const cxxtools::http::Request&)
{
    return new HandlerResponder(*this);
}

void HandlerService::releaseResponder(cxxtools::http::Responder* responder) { delete responder; }

} // namespace almondscale
