#include "Forwarding/BackendConnection.h"

#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/SocketOptions.h"
#include "Forwarding/StepwiseString.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace almondscale {

namespace {

    namespace http = boost::beast::http;

    // Covers two retransmissions by the kernel (after 200 and 400 ms) on links with a round trip
    // of a few milliseconds.
    constexpr Nanoseconds tcpUserTimeout = std::chrono::milliseconds(600);
    constexpr std::size_t chunkBytes = 16 << 10;
    constexpr std::uint32_t maxHeadBytes = 64 << 10;
    // Bytes read ahead of the parser: a head, or a chunk header, and one read of the body.
    constexpr std::size_t maxBufferBytes = maxHeadBytes + chunkBytes;
    // Statuses of HTTP responses; final ones begin at 200.
    constexpr unsigned firstInterimStatus = 100;
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned lastStatus = 599;
    constexpr unsigned switchingProtocols = 101;
    // Interim (1xx) responses accepted before the final one.
    constexpr int maxInterimResponses = 8;
    // A server that has read a head has usually read a body of this size with it.
    constexpr std::size_t smallBodyBytes = 16 << 10;
    // A server that closes a connection with unread bytes resets it at about the same time.
    constexpr Nanoseconds resetTime = std::chrono::milliseconds(20);
    constexpr Nanoseconds resetPollInterval = std::chrono::milliseconds(2);
    constexpr Nanoseconds takenPollInterval = std::chrono::milliseconds(10);
    // Idle connections are not reused this shortly before the server closes them.
    constexpr Nanoseconds keepAliveMargin = std::chrono::milliseconds(700);
    // Keep-alive timeout of servers that send none.
    constexpr Nanoseconds defaultKeepAlive = std::chrono::seconds(4);

    std::error_code toErrorCode(const boost::system::error_code& error)
    {
        return error ? std::error_code(error) : std::error_code();
    }

    bool isConnectionClosed(const boost::system::error_code& error)
    {
        namespace asio = boost::asio::error;
        return error == http::error::end_of_stream || error == http::error::partial_message
            || error == asio::eof || error == asio::connection_reset || error == asio::connection_aborted
            || error == asio::broken_pipe;
    }

    std::string serializeHead(const HttpRequestHead& head, std::size_t bodySize)
    {
        std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
        for (const auto& field : head.fields.all())
            text += field.first + ": " + field.second + "\r\n";
        if (bodySize > 0 || head.method == "POST" || head.method == "PUT")
            text += "Content-Length: " + std::to_string(bodySize) + "\r\n";
        return text + "\r\n";
    }

    // Whether other responses may follow. An interim response has no body, and no protocol is ever switched.
    template <typename Message> bool isInterim(const Message& message)
    {
        const auto status = message.result_int();
        return status >= firstInterimStatus && status < firstFinalStatus && status != switchingProtocols
            && (message.count(http::field::content_length) == 0
                || message[http::field::content_length] == "0")
            && message.count(http::field::transfer_encoding) == 0;
    }

    template <typename Message> bool isFinal(const Message& message)
    {
        return message.result_int() >= firstFinalStatus && message.result_int() <= lastStatus;
    }

    awaitable<bool> answerAtOnce(bool value) { co_return value; }

    std::optional<int> parseKeepAliveTimeout(const std::string& value)
    {
        const auto at = value.find("timeout=");
        if (at == std::string::npos)
            return std::nullopt;
        int seconds = 0;
        const auto* begin = value.data() + at + 8;
        const auto read = std::from_chars(begin, value.data() + value.size(), seconds);
        if (read.ec != std::errc())
            return std::nullopt;
        return seconds;
    }

} // namespace

class BackendConnection::Impl {
public:
    Impl(const boost::asio::any_io_executor& executor, Address address, std::shared_ptr<const void> token)
        : m_token(std::move(token))
        , m_address(std::move(address))
        , m_socket(executor)
        , m_timer(executor)
    {
    }

    // Closes the socket if the deadline passes before the operation completes.
    class DeadlineGuard {
    public:
        DeadlineGuard(std::shared_ptr<Impl> impl, Deadline deadline)
            : m_impl(std::move(impl))
        {
            m_impl->armTimer(deadline);
        }
        ~DeadlineGuard() { m_impl->m_timer.cancel(); }
        DeadlineGuard(const DeadlineGuard&) = delete;
        DeadlineGuard& operator=(const DeadlineGuard&) = delete;

    private:
        std::shared_ptr<Impl> m_impl;
    };

    void armTimer(Deadline deadline)
    {
        m_timer.expires_after(deadline.remaining(bootTime()));
        m_timer.async_wait([self = m_self.lock()](const boost::system::error_code& error) {
            if (!error)
                self->close();
        });
    }

    void close()
    {
        m_closed = true;
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    std::error_code translateError(const boost::system::error_code& error)
    {
        if (m_closed)
            return std::make_error_code(std::errc::operation_canceled);
        m_closedByServer = isConnectionClosed(error);
        return toErrorCode(error);
    }

    std::shared_ptr<const void> m_token;
    Address m_address;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer { maxBufferBytes };
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, chunkBytes> m_chunk {};
    bool m_closed = false;
    bool m_closedByServer = false;
    bool m_hasReadResponse = false;
    bool m_responseComplete = false;
    bool m_keepAlive = false;
    MonotonicTime m_idleUntil {};
    std::size_t m_sentBodyBytes = 0;
    std::weak_ptr<Impl> m_self;

    // Bytes that were sent and that the server's kernel has not confirmed; 0 if that is not known.
    std::size_t unconfirmedBytes()
    {
        int unconfirmed = 0;
        const bool known = ioctl(m_socket.native_handle(), SIOCOUTQ, &unconfirmed) == 0;
        return known ? static_cast<std::size_t>(std::max(0, unconfirmed)) : 0;
    }

    bool hasTakenAll() { return unconfirmedBytes() == 0; }

    void beginRequest(std::size_t bodyBytes)
    {
        m_responseComplete = false;
        m_keepAlive = false;
        m_parser.reset();
        m_sentBodyBytes = bodyBytes;
    }

    // Waits until the server has taken what was sent, or responds.
    awaitable<std::error_code> awaitTaken(TransferDeadline due)
    {
        auto left = unconfirmedBytes();
        while (left > 0 && !m_closed && !peek()) {
            if (due.deadline().passed(bootTime())) {
                close();
                break;
            }
            co_await sleepFor(takenPollInterval);
            const auto now = m_closed ? 0 : unconfirmedBytes();
            due.onBytes(left - std::min(left, now), bootTime());
            left = now;
        }
        co_return m_closed ? std::make_error_code(std::errc::operation_canceled) : std::error_code();
    }

    bool isReset()
    {
        int error = 0;
        socklen_t size = sizeof(error);
        return getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
    }

    // A response without a length ends with its connection. If the server ended it before it had taken the
    // request, it may have broken off: a reset follows, or some of the request stays unconfirmed.
    awaitable<std::error_code> checkEnd(Deadline deadline)
    {
        const auto until = std::min(deadline, Deadline::after(bootTime(), resetTime));
        for (;;) {
            if (m_closed || isReset())
                co_return std::make_error_code(std::errc::connection_reset);
            const bool taken = hasTakenAll();
            if (until.passed(bootTime()) || (taken && m_sentBodyBytes <= smallBodyBytes))
                co_return taken ? std::error_code() : std::make_error_code(std::errc::connection_reset);
            co_await sleepFor(resetPollInterval);
        }
    }

    // Result of a read without blocking: 0 at the end of the connection or on an error, nullopt if
    // it would block.
    std::optional<ssize_t> peek()
    {
        char byte = 0;
        const auto size = recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return std::nullopt;
        return std::max<ssize_t>(0, size);
    }
};

BackendConnection::BackendConnection(
    const boost::asio::any_io_executor& executor, Address address, std::shared_ptr<const void> token)
    : m_impl(std::make_shared<Impl>(executor, std::move(address), std::move(token)))
{
    m_impl->m_self = m_impl;
}

BackendConnection::~BackendConnection() { m_impl->close(); }

const Address& BackendConnection::address() const { return m_impl->m_address; }

awaitable<std::error_code> BackendConnection::connect(Deadline deadline)
{
    const auto impl = m_impl;
    boost::system::error_code error;
    const auto endpoint = endpointOf(impl->m_address, error);
    if (error)
        co_return toErrorCode(error);
    const Impl::DeadlineGuard guard(impl, deadline);
    impl->m_socket.open(tcp::v4(), error);
    if (error)
        co_return impl->translateError(error);
    std::tie(error) = co_await impl->m_socket.async_connect(endpoint, noThrow);
    if (error)
        co_return impl->translateError(error);
    impl->m_idleUntil = bootTime() + defaultKeepAlive - keepAliveMargin;
    co_return tuneSocket(impl->m_socket, tcpUserTimeout);
}

awaitable<std::error_code> BackendConnection::send(
    const HttpRequestHead& head, const std::string& body, Deadline deadline)
{
    const auto impl = m_impl;
    const Impl::DeadlineGuard guard(impl, deadline);
    impl->beginRequest(body.size());
    const std::string text = serializeHead(head, body.size());
    const std::array<boost::asio::const_buffer, 2> buffers { boost::asio::buffer(text),
        boost::asio::buffer(body) };
    const auto [error, size] = co_await boost::asio::async_write(impl->m_socket, buffers, noThrow);
    co_return error ? impl->translateError(error) : std::error_code();
}

awaitable<std::error_code> BackendConnection::transfer(
    const HttpRequestHead& head, const std::string& body, TransferDeadline due)
{
    const auto impl = m_impl;
    impl->beginRequest(body.size());
    const std::string request = serializeHead(head, body.size()) + body;
    for (std::size_t sent = 0; sent < request.size();) {
        const Impl::DeadlineGuard guard(impl, due.deadline());
        const auto rest = boost::asio::buffer(request) + sent;
        const auto [error, size] = co_await impl->m_socket.async_write_some(rest, noThrow);
        if (error)
            co_return impl->translateError(error);
        sent += size;
        due.onBytes(size, bootTime());
    }
    if (body.size() <= smallBodyBytes)
        co_return std::error_code();
    co_return co_await impl->awaitTaken(due);
}

awaitable<Result<HttpResponseHead>> BackendConnection::readHead(bool headRequest, Deadline deadline)
{
    const auto impl = m_impl;
    const Impl::DeadlineGuard guard(impl, deadline);
    impl->m_responseComplete = false;
    impl->m_keepAlive = false;
    for (int interim = 0;; ++interim) {
        if (interim > maxInterimResponses)
            co_return std::make_error_code(std::errc::bad_message);
        auto& parser = impl->m_parser.emplace();
        parser.header_limit(maxHeadBytes);
        parser.body_limit(boost::none);
        parser.skip(headRequest);
        const auto [error, size]
            = co_await http::async_read_header(impl->m_socket, impl->m_buffer, parser, noThrow);
        if (error)
            co_return impl->translateError(error);
        if (isFinal(parser.get()))
            break;
        // What follows a status that is none may look like a response and is not one.
        if (!isInterim(parser.get()))
            co_return std::make_error_code(std::errc::bad_message);
    }
    impl->m_hasReadResponse = true;
    const auto& message = impl->m_parser->get();
    HttpResponseHead head;
    head.status = static_cast<int>(message.result_int());
    for (const auto& field : message)
        head.fields.add(std::string(field.name_string()), std::string(field.value()));
    impl->m_keepAlive = message.keep_alive();
    Nanoseconds keepAlive = defaultKeepAlive;
    if (const auto* value = head.fields.find("Keep-Alive")) {
        if (const auto seconds = parseKeepAliveTimeout(*value))
            keepAlive = std::chrono::seconds(*seconds);
    }
    impl->m_idleUntil = bootTime() + keepAlive - keepAliveMargin;
    impl->m_responseComplete = impl->m_parser->is_done();
    co_return head;
}

awaitable<Result<BodyChunk>> BackendConnection::readBodyChunk(Deadline deadline)
{
    const auto impl = m_impl;
    const Impl::DeadlineGuard guard(impl, deadline);
    auto& parser = *impl->m_parser;
    BodyChunk chunk;
    while (!parser.is_done() && chunk.bytes.empty()) {
        auto& body = parser.get().body();
        body.data = impl->m_chunk.data();
        body.size = impl->m_chunk.size();
        body.more = true;
        auto [error, size] = co_await http::async_read_some(impl->m_socket, impl->m_buffer, parser, noThrow);
        if (error && error != http::error::need_buffer)
            co_return impl->translateError(error);
        chunk.bytes.assign(impl->m_chunk.data(), impl->m_chunk.size() - body.size);
    }
    chunk.last = parser.is_done();
    if (chunk.last && parser.need_eof()) {
        if (const auto error = co_await impl->checkEnd(deadline)) {
            impl->m_closedByServer = !impl->m_closed;
            co_return error;
        }
    }
    impl->m_responseComplete = chunk.last;
    // Idle connections hold no buffers.
    if (chunk.last && impl->m_buffer.size() == 0)
        impl->m_buffer.shrink_to_fit();
    co_return chunk;
}

awaitable<Result<std::string>> BackendConnection::readWholeBody(std::size_t maxBytes, Deadline deadline)
{
    const AwaitRoom withinLimit
        = [maxBytes](const std::string& body) { return answerAtOnce(body.size() <= maxBytes); };
    return readWholeBody(withinLimit, deadline);
}

awaitable<Result<std::string>> BackendConnection::readWholeBody(AwaitRoom awaitRoom, Deadline deadline)
{
    std::string body;
    for (;;) {
        auto chunk = co_await readBodyChunk(deadline);
        if (!chunk)
            co_return chunk.error();
        appendStepwise(body, chunk.value().bytes);
        chunk.value().bytes = std::string();
        const bool room = co_await awaitRoom(body);
        if (!room)
            co_return std::make_error_code(std::errc::message_size);
        if (chunk.value().last)
            co_return body;
    }
}

std::optional<std::size_t> BackendConnection::remainingBodyBytes() const
{
    const auto length
        = m_impl->m_parser ? m_impl->m_parser->content_length_remaining() : boost::optional<std::uint64_t>();
    return length ? std::optional<std::size_t>(*length) : std::nullopt;
}

bool BackendConnection::reusable() const
{
    // Surplus bytes after a response belong to no request and make the connection unusable.
    return m_impl->m_responseComplete && m_impl->m_keepAlive && !m_impl->m_closed
        && m_impl->m_buffer.size() == 0;
}

Deadline BackendConnection::idleUntil() const { return Deadline(m_impl->m_idleUntil); }

bool BackendConnection::isIdle() { return !m_impl->m_closed && !m_impl->peek(); }

bool BackendConnection::hasReadResponse() const { return m_impl->m_hasReadResponse; }

bool BackendConnection::endsWithResponse() const { return m_impl->m_parser && m_impl->m_parser->need_eof(); }

bool BackendConnection::closedByServer() const
{
    return m_impl->m_closedByServer || (!m_impl->m_closed && m_impl->peek() == 0);
}

void BackendConnection::close() { m_impl->close(); }

} // namespace almondscale
