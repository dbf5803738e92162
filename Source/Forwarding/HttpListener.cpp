#include "Forwarding/HttpListener.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/SocketOptions.h"
#include "Forwarding/Spawn.h"

namespace almondscale {

namespace {

    // Delay after a failed accept, for example without free file descriptors.
    constexpr Nanoseconds acceptRetryDelay = std::chrono::milliseconds(20);
    constexpr Nanoseconds acceptLogInterval = std::chrono::seconds(1);

} // namespace

class HttpListener::Impl : public std::enable_shared_from_this<HttpListener::Impl> {
public:
    Impl(const boost::asio::any_io_executor& executor, OnConnection onConnection)
        : m_acceptor(executor)
        , m_onConnection(std::move(onConnection))
    {
    }

    std::error_code start(const Address& address)
    {
        boost::system::error_code error;
        const auto endpoint = endpointOf(address, error);
        if (!error)
            m_acceptor.open(tcp::v4(), error);
        if (!error)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error && m_bufferBytes > 0)
            m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(m_bufferBytes), error);
        if (!error && m_bufferBytes > 0)
            m_acceptor.set_option(boost::asio::socket_base::send_buffer_size(m_bufferBytes), error);
        if (!error)
            m_acceptor.bind(endpoint, error);
        if (!error)
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        if (error)
            return error;
        spawn(m_acceptor.get_executor(), accept(shared_from_this()));
        return {};
    }

    static awaitable<void> accept(std::shared_ptr<Impl> self)
    {
        while (self->m_acceptor.is_open()) {
            auto [error, socket] = co_await self->m_acceptor.async_accept(noThrow);
            if (!error) {
                self->m_onConnection(std::move(socket));
                continue;
            }
            if (!self->m_acceptor.is_open())
                break;
            if (self->m_nextLogLine.passed(bootTime())) {
                self->m_nextLogLine = Deadline::after(bootTime(), acceptLogInterval);
                LogEvent("accept_failed", LogLevel::Warning).with("error", error.message());
            }
            co_await sleepFor(acceptRetryDelay);
        }
    }

    tcp::acceptor m_acceptor;
    OnConnection m_onConnection;
    // Set for the accepted sockets, which inherit it; 0 for the system's default.
    int m_bufferBytes = 0;
    Deadline m_nextLogLine;
};

HttpListener::HttpListener(const boost::asio::any_io_executor& executor, OnConnection onConnection)
    : m_impl(std::make_shared<Impl>(executor, std::move(onConnection)))
{
}

void HttpListener::setSocketBuffers(int bytes) { m_impl->m_bufferBytes = bytes; }

std::error_code HttpListener::start(const Address& address) { return m_impl->start(address); }

void HttpListener::stop()
{
    boost::system::error_code ignored;
    m_impl->m_acceptor.close(ignored);
}

} // namespace almondscale
