#include "StatusServer.h"

#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace almondscale {

namespace {

    namespace http = boost::beast::http;

    // The load balancer checks once a second over a persistent connection.
    constexpr Nanoseconds idleTimeout = std::chrono::seconds(10);
    constexpr const char* metricsPath = "/metrics";

    http::response<http::string_body> responseTo(const std::string& path, const StatusServer::Hooks& hooks)
    {
        http::response<http::string_body> response;
        auto page = hooks.page ? hooks.page(path) : std::nullopt;
        if (path == metricsPath) {
            response.set(http::field::content_type, "text/plain; version=0.0.4");
            response.body() = hooks.metrics();
        } else if (page) {
            response.set(http::field::content_type, "application/json");
            response.body() = std::move(*page);
        } else if (!hooks.ready) {
            response.result(http::status::not_found);
        } else {
            response.result(hooks.ready() ? http::status::ok : http::status::service_unavailable);
        }
        return response;
    }

    awaitable<void> serveConnection(std::shared_ptr<tcp::socket> socket, const StatusServer::Hooks& hooks)
    {
        boost::asio::steady_timer timer(socket->get_executor());
        boost::beast::flat_buffer buffer;
        for (bool keep = true; keep;) {
            timer.expires_after(idleTimeout);
            timer.async_wait([socket](const boost::system::error_code& error) {
                boost::system::error_code ignored;
                if (!error)
                    socket->close(ignored);
            });
            http::request<http::string_body> request;
            const auto [error, size] = co_await http::async_read(*socket, buffer, request, noThrow);
            timer.cancel();
            if (error)
                co_return;
            auto response = responseTo(std::string(request.target()), hooks);
            response.version(11);
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            keep = response.keep_alive();
            const auto [failed, written] = co_await http::async_write(*socket, response, noThrow);
            if (failed)
                co_return;
        }
    }

} // namespace

StatusServer::StatusServer(const boost::asio::any_io_executor& executor, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_listener(executor, [this](tcp::socket socket) {
        const auto executor = socket.get_executor();
        spawn(executor, serveConnection(std::make_shared<tcp::socket>(std::move(socket)), m_hooks));
    })
{
}

std::error_code StatusServer::start(const Address& address) { return m_listener.start(address); }

} // namespace almondscale
