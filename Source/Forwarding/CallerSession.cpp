#include "Forwarding/CallerSession.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/RequestForwarder.h"
#include "Forwarding/RequestReader.h"
#include "Forwarding/SocketOptions.h"
#include "Forwarding/Spawn.h"
#include "Serving/RetryAdvice.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>

namespace almondscale {

namespace {

    constexpr std::size_t readBytes = 8 << 10;
    // Bytes of pipelined requests that are read ahead while one is handled.
    constexpr std::size_t maxPipelinedBytes = 64 << 10;
    // A caller that acknowledges nothing for this long is treated as disconnected.
    constexpr Nanoseconds tcpUserTimeout = std::chrono::seconds(4);
    // Idle connections stay open longer than the timeout that callers know, so that none is
    // closed while a request is in transit.
    constexpr Nanoseconds idleTimeoutMargin = std::chrono::seconds(2);

    const char* reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
        }
    }

    std::string serializeHead(const HttpResponseHead& head)
    {
        std::string text
            = "HTTP/1.1 " + std::to_string(head.status) + ' ' + reasonPhrase(head.status) + "\r\n";
        for (const auto& field : head.fields.all())
            text += field.first + ": " + field.second + "\r\n";
        return text;
    }

    std::string chunk(const std::string& bytes)
    {
        static constexpr const char* digits = "0123456789abcdef";
        std::string size;
        for (auto rest = bytes.size(); rest > 0; rest /= 16)
            size.insert(size.begin(), digits[rest % 16]);
        return size + "\r\n" + bytes + "\r\n";
    }

} // namespace

class CallerSession::Impl : public std::enable_shared_from_this<CallerSession::Impl> {
public:
    Impl(ServingContext& context, tcp::socket socket)
        : m_context(context)
        , m_socket(std::move(socket))
        , m_dataArrived(m_socket.get_executor())
        , m_bufferDrained(m_socket.get_executor())
    {
        // Not fatal: the deadline of the request still bounds the work for a vanished caller.
        if (const auto error = tuneSocket(m_socket, tcpUserTimeout))
            LogEvent("socket_not_tuned", LogLevel::Warning).with("error", error.message());
    }

    awaitable<void> serve()
    {
        const auto self = shared_from_this();
        spawn(m_socket.get_executor(), readLoop(self));
        bool more = true;
        while (more && !m_disconnected)
            more = co_await serveRequest();
        close();
    }

    void closeIfIdle()
    {
        if (m_idle && m_buffer.size() == 0)
            close();
    }

    void endRequestBy(Deadline deadline)
    {
        if (m_forwarder)
            m_forwarder->endBy(deadline);
    }

private:
    // Reads while the connection is open, so that a disconnect is detected immediately.
    static awaitable<void> readLoop(std::shared_ptr<Impl> self)
    {
        while (!self->m_disconnected) {
            if (self->m_buffer.size() > maxPipelinedBytes) {
                co_await self->m_bufferDrained.waitUntil(Deadline::never());
                continue;
            }
            const auto [error, size]
                = co_await self->m_socket.async_read_some(boost::asio::buffer(self->m_readBuffer), noThrow);
            if (error) {
                self->m_disconnected = true;
                if (self->m_forwarder)
                    self->m_forwarder->cancel();
            } else {
                // Not read directly into m_buffer, which RequestReader consumes concurrently.
                self->m_buffer.commit(boost::asio::buffer_copy(
                    self->m_buffer.prepare(size), boost::asio::buffer(self->m_readBuffer, size)));
            }
            self->m_dataArrived.notify();
        }
    }

    void close()
    {
        m_disconnected = true;
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        m_bufferDrained.notify();
        m_dataArrived.notify();
    }

    // Returns whether the connection stays open for another request.
    awaitable<bool> serveRequest()
    {
        const auto limits = m_context.routes.manifest()->limits;
        RequestReader reader(limits);
        m_responseHasBody = true;
        ByteBudget::Reservation reservation(m_context.bufferBudget);
        m_idle = true;
        const auto idleUntil = Deadline::after(bootTime(), limits.idleTimeout + idleTimeoutMargin);
        auto deadline = idleUntil;
        bool continued = false;
        for (;;) {
            const auto state = reader.read(m_buffer);
            m_bufferDrained.notify();
            if (state == RequestReader::State::Complete)
                break;
            if (state == RequestReader::State::Invalid) {
                co_await refuse(reader.error());
                co_return false;
            }
            if (!reservation.resize(reader.bodyBytes())) {
                co_await refuse(ErrorKind::QueueFull);
                co_return false;
            }
            if (reader.started() && m_idle) {
                m_idle = false;
                deadline = Deadline::after(bootTime(), limits.headerTimeout);
            }
            if (reader.isHeadComplete() && !continued) {
                continued = true;
                // The body gets the same timeout as the head.
                deadline = Deadline::after(bootTime(), limits.headerTimeout);
                if (reader.expectsContinue())
                    co_await write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (m_disconnected)
                co_return false;
            const bool arrived = co_await m_dataArrived.waitUntil(deadline);
            if (!arrived && deadline.passed(bootTime())) {
                if (!m_idle)
                    co_await refuse(ErrorKind::RequestTimeout);
                co_return false;
            }
        }
        m_idle = false;
        co_return co_await handleRequest(reader.take());
    }

    awaitable<bool> handleRequest(ReceivedRequest received)
    {
        m_keepAlive = received.keepAlive && !m_context.closesCallerConnections();
        m_responseHasBody = received.head.method != "HEAD";
        const bool hasKeys = m_context.routes.organisations();
        auto decoded
            = m_context.wire.decodeRequest(std::move(received.head), std::move(received.body), hasKeys);
        if (!decoded)
            co_return co_await refuse(decoded.kind());
        if (m_context.routes.empty())
            co_return co_await refuse(ErrorKind::NoRules);
        const auto route = m_context.routes.find(decoded.value().host, decoded.value().head.target);
        if (!route) {
            LogEvent("no_route")
                .with("request", decoded.value().id)
                .with("manifest", m_context.routes.version());
            co_return co_await refuse(ErrorKind::NotFound);
        }
        const auto refusal = authenticate(m_context, decoded.value(), *route);
        if (refusal != ErrorKind::None)
            co_return co_await refuse(refusal);
        m_responseComplete = false;
        m_forwarder = std::make_shared<RequestForwarder>(
            m_context, std::move(decoded.value()), route, responseWriter());
        if (!m_disconnected)
            co_await m_forwarder->run();
        m_forwarder.reset();
        const bool keepOpen = m_responseComplete && m_keepAlive && !m_disconnected;
        co_return keepOpen;
    }

    ResponseWriter responseWriter()
    {
        ResponseWriter writer;
        writer.sendResponse = [this](HttpResponseHead head, std::string body) -> awaitable<bool> {
            return sendResponse(std::move(head), std::move(body));
        };
        writer.beginStream
            = [this](HttpResponseHead head) -> awaitable<bool> { return beginStream(std::move(head)); };
        writer.sendChunk
            = [this](std::string bytes) -> awaitable<bool> { return sendChunk(std::move(bytes)); };
        writer.endStream = [this]() -> awaitable<bool> { return endStream(); };
        writer.abort = [this] { m_keepAlive = false; };
        return writer;
    }

    awaitable<bool> write(std::string text)
    {
        if (m_disconnected)
            co_return false;
        const auto [error, size]
            = co_await boost::asio::async_write(m_socket, boost::asio::buffer(text), noThrow);
        co_return !error;
    }

    // Serializes the head, with Connection: close if the caller or the host closes the connection.
    std::string beginResponse(const HttpResponseHead& head)
    {
        m_keepAlive = m_keepAlive && !m_context.closesCallerConnections();
        return serializeHead(head) + (m_keepAlive ? "" : "Connection: close\r\n");
    }

    awaitable<bool> sendResponse(HttpResponseHead head, std::string body)
    {
        auto text = beginResponse(head);
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (m_responseHasBody)
            text += body;
        m_responseComplete = co_await write(std::move(text));
        co_return m_responseComplete;
    }

    awaitable<bool> beginStream(HttpResponseHead head)
    {
        auto text = beginResponse(head);
        m_pendingHead = text + "Transfer-Encoding: chunked\r\n\r\n";
        co_return !m_disconnected;
    }

    awaitable<bool> sendChunk(std::string bytes)
    {
        // The head is sent together with the first chunk.
        auto text = std::move(m_pendingHead) + chunk(bytes);
        m_pendingHead.clear();
        co_return co_await write(std::move(text));
    }

    awaitable<bool> endStream()
    {
        auto text = std::move(m_pendingHead) + "0\r\n\r\n";
        m_pendingHead.clear();
        m_responseComplete = co_await write(std::move(text));
        co_return m_responseComplete;
    }

    awaitable<bool> refuse(ErrorKind kind)
    {
        // After a request that was not read completely, the position in the byte stream is unknown.
        if (kind == ErrorKind::RequestTimeout || kind == ErrorKind::HeaderTooLarge
            || kind == ErrorKind::BodyTooLarge || kind == ErrorKind::BadRequest)
            m_keepAlive = false;
        auto response = m_context.wire.encodeError(kind, retryAfter(kind));
        if (kind != ErrorKind::NotFound)
            LogEvent("refused").with("reason", errorName(kind)).with("manifest", m_context.routes.version());
        co_await sendResponse(std::move(response.head), std::move(response.body));
        const bool keepOpen = m_responseComplete && m_keepAlive;
        co_return keepOpen;
    }

    ServingContext& m_context;
    tcp::socket m_socket;
    std::array<char, readBytes> m_readBuffer {};
    boost::beast::flat_buffer m_buffer;
    AsyncEvent m_dataArrived;
    AsyncEvent m_bufferDrained;
    std::shared_ptr<RequestForwarder> m_forwarder;
    std::string m_pendingHead;
    bool m_idle = false;
    bool m_disconnected = false;
    bool m_keepAlive = true;
    bool m_responseComplete = false;
    bool m_responseHasBody = true;
};

CallerSession::CallerSession(ServingContext& context, tcp::socket socket)
    : m_impl(std::make_shared<Impl>(context, std::move(socket)))
{
}

awaitable<void> CallerSession::serve()
{
    const auto impl = m_impl;
    co_await impl->serve();
}

void CallerSession::closeIfIdle() { m_impl->closeIfIdle(); }

void CallerSession::endRequestBy(Deadline deadline) { m_impl->endRequestBy(deadline); }

} // namespace almondscale
