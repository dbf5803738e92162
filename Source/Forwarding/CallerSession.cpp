#include "Forwarding/CallerSession.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/RequestForwarder.h"
#include "Forwarding/RequestReader.h"
#include "Forwarding/SocketOptions.h"
#include "Forwarding/Spawn.h"
#include "Serving/RetryAdvice.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace almondscale {

namespace {

    constexpr std::size_t readBytes = 16 << 10;
    // Bytes of pipelined requests that are read ahead while one is handled.
    constexpr std::size_t maxPipelinedBytes = 64 << 10;
    // Interval at which a session that waits for memory asks again.
    constexpr Nanoseconds memoryPollInterval = std::chrono::milliseconds(100);
    // A caller that is refused before the end of its request has this long, and these bytes, to stop sending.
    // If the connection were closed at once, the caller could lose the response.
    constexpr Nanoseconds drainTime = std::chrono::milliseconds(1000);
    constexpr std::size_t maxDrainBytes = 16 << 20;
    // Session, coroutine frames, timers and the socket's state in the process.
    constexpr std::size_t connectionBytes = CallerSession::connectionBytes;
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
        , m_memory(context.memory, connectionBytes, MemoryPhase::Idle, bootTime(), memoryHooks())
    {
        boost::system::error_code ignored;
        m_socket.non_blocking(true, ignored);
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
    MemoryBudget::Holder::Hooks memoryHooks()
    {
        return { [this] { m_bufferDrained.notify(); }, [this](MemoryEnd reason) { endForMemory(reason); } };
    }

    void endForMemory(MemoryEnd reason)
    {
        if (reason == MemoryEnd::Stalled || reason == MemoryEnd::NoRoom) {
            m_ended = reason;
            m_dataArrived.notify();
            return;
        }
        disconnect();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    void disconnect()
    {
        m_disconnected = true;
        if (m_forwarder)
            m_forwarder->cancel();
        m_bufferDrained.notify();
        m_dataArrived.notify();
    }

    // Whether the bytes that have arrived may be read now: of the request that is received, or of pipelined
    // ones.
    bool mayRead()
    {
        if (m_draining)
            return true;
        auto bytes = readBytes;
        if (m_context.memory.isShort()) {
            boost::system::error_code ignored;
            bytes = std::min(bytes, m_socket.available(ignored));
        }
        // The capacity of a body grows by a quarter, but not beyond its announced length.
        if (m_reader)
            bytes += m_reader->growthFor(bytes);
        m_awaitsMemory = !m_memory.mayGrow(bytes, bootTime());
        return !m_awaitsMemory;
    }

    // Reads while the connection is open, so that a disconnect is detected immediately.
    static awaitable<void> readLoop(std::shared_ptr<Impl> self)
    {
        // Shared by all sessions, since no session keeps bytes in it across a suspension.
        static thread_local std::array<char, readBytes> bytes;
        while (!self->m_disconnected) {
            if (self->m_buffer.size() > maxPipelinedBytes && !self->m_draining) {
                co_await self->m_bufferDrained.waitUntil(Deadline::never());
                continue;
            }
            // A connection without bytes to read holds no buffer.
            auto [error] = co_await self->m_socket.async_wait(tcp::socket::wait_read, noThrow);
            if (self->m_disconnected)
                break;
            if (!error && !self->mayRead()) {
                co_await self->m_bufferDrained.waitUntil(Deadline::after(bootTime(), memoryPollInterval));
                continue;
            }
            std::size_t size = 0;
            if (!error)
                size = self->m_socket.read_some(boost::asio::buffer(bytes), error);
            if (error == boost::asio::error::would_block)
                continue;
            if (error)
                self->disconnect();
            else
                self->accept(boost::asio::buffer(bytes.data(), size));
        }
    }

    void accept(boost::asio::const_buffer bytes)
    {
        if (m_draining) {
            m_drainedBytes += bytes.size();
        } else {
            m_buffer.commit(boost::asio::buffer_copy(m_buffer.prepare(bytes.size()), bytes));
            m_memory.noteProgress(bootTime());
            chargeBytes();
        }
        m_dataArrived.notify();
    }

    // Charges what the session holds now.
    void chargeBytes()
    {
        const auto held = m_reader ? m_reader->heldBytes() : m_requestBytes;
        m_memory.setBytes(
            held + m_buffer.capacity() + m_unsentBytes, m_reader ? m_reader->remainingBytes() : 0);
    }

    // Discards what the caller still sends, until it closes the connection or the limits are reached.
    awaitable<void> drain()
    {
        m_draining = true;
        m_reader.reset();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_memory.setPhase(MemoryPhase::Running, bootTime());
        chargeBytes();
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_bufferDrained.notify();
        const auto deadline = Deadline::after(bootTime(), drainTime);
        while (!m_disconnected && m_drainedBytes < maxDrainBytes && !deadline.passed(bootTime()))
            co_await m_dataArrived.waitUntil(deadline);
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
        m_responseHasBody = true;
        m_reader.emplace(limits);
        m_requestBytes = 0;
        m_idle = true;
        m_memory.setPhase(MemoryPhase::Idle, bootTime());
        auto deadline = Deadline::after(bootTime(), limits.idleTimeout + idleTimeoutMargin);
        bool continued = false;
        auto& reader = *m_reader;
        for (;;) {
            const auto state = reader.read(m_buffer);
            if (m_buffer.size() == 0)
                m_buffer.shrink_to_fit();
            m_bufferDrained.notify();
            if (state == RequestReader::State::Complete)
                break;
            if (state == RequestReader::State::Invalid)
                co_return co_await refuseUnread(reader.error());
            if (m_idle && (reader.started() || m_buffer.size() > 0)) {
                m_idle = false;
                m_memory.setPhase(MemoryPhase::Receiving, bootTime());
                deadline = Deadline::after(bootTime(), limits.headerTimeout);
            }
            chargeBytes();
            if (reader.isHeadComplete() && !continued) {
                continued = true;
                // The body gets the same timeout as the head.
                deadline = Deadline::after(bootTime(), limits.headerTimeout);
                if (reader.expectsContinue())
                    co_await write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (m_ended)
                co_return co_await refuseUnread(
                    *m_ended == MemoryEnd::Stalled ? ErrorKind::RequestTimeout : ErrorKind::QueueFull);
            if (m_disconnected)
                co_return false;
            const bool arrived = co_await m_dataArrived.waitUntil(deadline);
            if (!arrived && deadline.passed(bootTime())) {
                // The caller is not late if this host did not read.
                if (!m_idle)
                    co_await refuseUnread(m_awaitsMemory ? ErrorKind::QueueFull : ErrorKind::RequestTimeout);
                co_return false;
            }
        }
        m_idle = false;
        m_requestBytes = reader.heldBytes();
        auto received = reader.take();
        m_reader.reset();
        m_memory.setPhase(MemoryPhase::Running, bootTime());
        chargeBytes();
        // A head with many fields needs more memory once it is parsed.
        if (!m_context.memory.hasRoom(0)) {
            received = {};
            m_requestBytes = 0;
            chargeBytes();
            co_return co_await refuseUnread(ErrorKind::QueueFull);
        }
        co_return co_await handleRequest(std::move(received));
    }

    // Refuses a request that was not read completely and ends the connection.
    awaitable<bool> refuseUnread(ErrorKind kind)
    {
        m_keepAlive = false;
        co_await refuse(kind);
        if (!m_disconnected)
            co_await drain();
        co_return false;
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
            // A route that an outdated manifest lacks may have been added. A caller does not repeat a request
            // that got 404.
            const bool outdated = m_context.manifestNow().isOutdated();
            co_return co_await refuse(
                outdated ? ErrorKind::ManifestTooOld : ErrorKind::NotFound, decoded.value().id);
        }
        const auto refusal = authenticate(m_context, decoded.value(), *route);
        if (refusal != ErrorKind::None)
            co_return co_await refuse(refusal, decoded.value().id);
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

    awaitable<bool> write(std::string head, std::string body = {})
    {
        if (m_disconnected)
            co_return false;
        const auto before = m_memory.phase();
        m_memory.setPhase(MemoryPhase::Sending, bootTime());
        // Responses are charged by those that buffer them.
        m_unsentBytes = head.capacity();
        chargeBytes();
        const auto size = head.size() + body.size();
        std::size_t done = 0;
        bool sent = true;
        while (sent && done < size) {
            const auto inBody = done - std::min(done, head.size());
            const std::array<boost::asio::const_buffer, 2> rest { boost::asio::buffer(head) + done,
                boost::asio::buffer(body) + inBody };
            const auto [error, count] = co_await m_socket.async_write_some(rest, noThrow);
            done += count;
            sent = !error && !m_disconnected;
            m_memory.noteProgress(bootTime());
        }
        m_unsentBytes = 0;
        m_memory.setPhase(before, bootTime());
        chargeBytes();
        co_return sent;
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
        if (!m_responseHasBody)
            body.clear();
        m_responseComplete = co_await write(std::move(text), std::move(body));
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

    awaitable<bool> refuse(ErrorKind kind, CallerRequestId request = CallerRequestId())
    {
        // After a request that was not read completely, the position in the byte stream is unknown.
        if (kind == ErrorKind::RequestTimeout || kind == ErrorKind::HeaderTooLarge
            || kind == ErrorKind::BodyTooLarge || kind == ErrorKind::BadRequest)
            m_keepAlive = false;
        auto response = m_context.wire.encodeError(kind, retryAfter(kind));
        logRefusal(kind, request);
        co_await sendResponse(std::move(response.head), std::move(response.body));
        const bool keepOpen = m_responseComplete && m_keepAlive;
        co_return keepOpen;
    }

    // The request is empty if it could not be decoded.
    void logRefusal(ErrorKind kind, const CallerRequestId& request)
    {
        const auto manifest = m_context.manifestNow();
        const bool noRoute = kind == ErrorKind::NotFound;
        noteDecision(m_context, manifest, errorName(kind));
        LogEvent event(noRoute ? "no_route" : "refused");
        event.with("request", request);
        if (!noRoute)
            event.with("reason", errorName(kind));
        addManifest(event, manifest);
    }

    ServingContext& m_context;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    AsyncEvent m_dataArrived;
    AsyncEvent m_bufferDrained;
    std::shared_ptr<RequestForwarder> m_forwarder;
    // The request that is being received.
    std::optional<RequestReader> m_reader;
    MemoryBudget::Holder m_memory;
    // Held for the request that is handled, and for the bytes that the caller has yet to read.
    std::size_t m_requestBytes = 0;
    std::size_t m_unsentBytes = 0;
    std::size_t m_drainedBytes = 0;
    std::string m_pendingHead;
    // Set if the request is to be refused for its memory.
    std::optional<MemoryEnd> m_ended;
    // The last read was refused for lack of memory.
    bool m_awaitsMemory = false;
    bool m_draining = false;
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
