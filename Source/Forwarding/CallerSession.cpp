#include "Forwarding/CallerSession.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/RequestReader.h"
#include "Forwarding/RequestRun.h"
#include "Forwarding/Signal.h"
#include "Forwarding/SocketOptions.h"
#include "Forwarding/Spawn.h"
#include "Serving/RetryAdvice.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>

namespace almondscale {

namespace {

    constexpr std::size_t readBytes = 8 << 10;
    // Bytes of later requests that are taken while one is under way.
    constexpr std::size_t mostAhead = 64 << 10;
    // A caller that acknowledges nothing for this long has left.
    constexpr Nanoseconds unacknowledged = std::chrono::seconds(4);
    // A caller's connection stays open for this long beyond the limit that callers
    // keep to, so that none is closed while a request is on its way.
    constexpr Nanoseconds idleSlack = std::chrono::seconds(2);

    const char* reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
        }
    }

    std::string startOf(const HttpResponseHead& head)
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
        , m_arrived(m_socket.get_executor())
        , m_drained(m_socket.get_executor())
    {
        // Without it a vanished caller is still found by the deadline of its request.
        if (const auto error = tuneSocket(m_socket, unacknowledged))
            LogEvent("socket_not_tuned", LogLevel::Warning).with("error", error.message());
    }

    awaitable<void> serve()
    {
        const auto self = shared_from_this();
        spawn(m_socket.get_executor(), keepReading(self));
        bool more = true;
        while (more && !m_gone)
            more = co_await serveOne();
        close();
    }

    void closeIfIdle()
    {
        if (m_idle && m_buffer.size() == 0)
            close();
    }

private:
    // Reads for as long as the connection is open, so that its end is seen at once.
    static awaitable<void> keepReading(std::shared_ptr<Impl> self)
    {
        while (!self->m_gone) {
            if (self->m_buffer.size() > mostAhead) {
                co_await self->m_drained.waitUntil(Deadline::never());
                continue;
            }
            const auto [error, size]
                = co_await self->m_socket.async_read_some(boost::asio::buffer(self->m_piece), noThrow);
            if (error) {
                self->m_gone = true;
                if (self->m_run)
                    self->m_run->abandon();
            } else {
                // Not read into the buffer itself, because the reader consumes it meanwhile.
                self->m_buffer.commit(boost::asio::buffer_copy(
                    self->m_buffer.prepare(size), boost::asio::buffer(self->m_piece, size)));
            }
            self->m_arrived.notify();
        }
    }

    void close()
    {
        m_gone = true;
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        m_drained.notify();
        m_arrived.notify();
    }

    // Whether the connection goes on after the request.
    awaitable<bool> serveOne()
    {
        const auto limits = m_context.routes.manifest()->limits;
        RequestReader reader(limits);
        ByteBudget::Share held(m_context.heldBytes);
        m_idle = true;
        const auto idleUntil = Deadline::after(bootTime(), limits.idleTimeout + idleSlack);
        auto deadline = idleUntil;
        bool continued = false;
        for (;;) {
            const auto state = reader.read(m_buffer);
            m_drained.notify();
            if (state == RequestReader::State::Whole)
                break;
            if (state == RequestReader::State::Invalid) {
                co_await refuse(reader.error());
                co_return false;
            }
            if (!held.setSize(reader.bodyBytes())) {
                co_await refuse(ErrorKind::QueueFull);
                co_return false;
            }
            if (reader.started() && m_idle) {
                m_idle = false;
                deadline = Deadline::after(bootTime(), limits.headerTimeout);
            }
            if (reader.headDone() && !continued) {
                continued = true;
                // The body may take as long again as the head.
                deadline = Deadline::after(bootTime(), limits.headerTimeout);
                if (reader.wantsContinue())
                    co_await write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (m_gone)
                co_return false;
            const bool arrived = co_await m_arrived.waitUntil(deadline);
            if (!arrived && deadline.passed(bootTime())) {
                if (!m_idle)
                    co_await refuse(ErrorKind::RequestTimeout);
                co_return false;
            }
        }
        m_idle = false;
        co_return co_await answer(reader.take());
    }

    awaitable<bool> answer(ReceivedRequest received)
    {
        m_keepAlive = received.keepAlive && !m_context.leavesCallers();
        const auto method = received.head.method;
        auto decoded = m_context.wire.decodeRequest(std::move(received.head), std::move(received.body));
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
        m_answerHasBody = method != "HEAD";
        m_answered = false;
        m_run = std::make_shared<RequestRun>(m_context, std::move(decoded.value()), route, sink());
        if (!m_gone)
            co_await m_run->run();
        m_run.reset();
        const bool goesOn = m_answered && m_keepAlive && !m_gone;
        co_return goesOn;
    }

    AnswerSink sink()
    {
        AnswerSink sink;
        sink.sendWhole = [this](HttpResponseHead head, std::string body) -> awaitable<bool> {
            return sendWhole(std::move(head), std::move(body));
        };
        sink.beginStream
            = [this](HttpResponseHead head) -> awaitable<bool> { return beginStream(std::move(head)); };
        sink.sendPiece = [this](std::string bytes) -> awaitable<bool> { return sendPiece(std::move(bytes)); };
        sink.endStream = [this]() -> awaitable<bool> { return endStream(); };
        sink.breakOff = [this] { m_keepAlive = false; };
        return sink;
    }

    awaitable<bool> write(std::string text)
    {
        if (m_gone)
            co_return false;
        const auto [error, size]
            = co_await boost::asio::async_write(m_socket, boost::asio::buffer(text), noThrow);
        co_return !error;
    }

    // The start of an answer; it ends the connection where the caller or the host does.
    std::string beginAnswer(const HttpResponseHead& head)
    {
        m_keepAlive = m_keepAlive && !m_context.leavesCallers();
        return startOf(head) + (m_keepAlive ? "" : "Connection: close\r\n");
    }

    awaitable<bool> sendWhole(HttpResponseHead head, std::string body)
    {
        auto text = beginAnswer(head);
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (m_answerHasBody)
            text += body;
        m_answered = co_await write(std::move(text));
        co_return m_answered;
    }

    awaitable<bool> beginStream(HttpResponseHead head)
    {
        auto text = beginAnswer(head);
        m_pending = text + "Transfer-Encoding: chunked\r\n\r\n";
        co_return !m_gone;
    }

    awaitable<bool> sendPiece(std::string bytes)
    {
        // The head travels with the first event.
        auto text = std::move(m_pending) + chunk(bytes);
        m_pending.clear();
        co_return co_await write(std::move(text));
    }

    awaitable<bool> endStream()
    {
        auto text = std::move(m_pending) + "0\r\n\r\n";
        m_pending.clear();
        m_answered = co_await write(std::move(text));
        co_return m_answered;
    }

    awaitable<bool> refuse(ErrorKind kind)
    {
        m_answerHasBody = true;
        // What could not be read leaves the connection in an unknown state.
        if (kind == ErrorKind::RequestTimeout || kind == ErrorKind::HeaderTooLarge
            || kind == ErrorKind::BodyTooLarge || kind == ErrorKind::BadRequest)
            m_keepAlive = false;
        auto answer = m_context.wire.encodeError(kind, retryAfter(kind));
        if (kind != ErrorKind::NotFound)
            LogEvent("refused").with("reason", errorName(kind)).with("manifest", m_context.routes.version());
        co_await sendWhole(std::move(answer.head), std::move(answer.body));
        const bool goesOn = m_answered && m_keepAlive;
        co_return goesOn;
    }

    ServingContext& m_context;
    tcp::socket m_socket;
    std::array<char, readBytes> m_piece {};
    boost::beast::flat_buffer m_buffer;
    Signal m_arrived;
    Signal m_drained;
    std::shared_ptr<RequestRun> m_run;
    std::string m_pending;
    bool m_idle = false;
    bool m_gone = false;
    bool m_keepAlive = true;
    bool m_answered = false;
    bool m_answerHasBody = true;
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

} // namespace almondscale
