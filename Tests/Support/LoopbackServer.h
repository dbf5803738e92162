#pragma once

#include "Forwarding/Asio.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/HttpListener.h"
#include "Forwarding/Spawn.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondscale {

// A server on loopback whose answers a test writes byte by byte.
class LoopbackServer {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    // Answers one request; the connection is closed afterwards if it says so.
    using Answer = std::function<awaitable<bool>(const Request&, tcp::socket&)>;

    LoopbackServer(const boost::asio::any_io_executor& executor, const Address& address, Answer answer)
        : m_answer(std::move(answer))
        , m_listener(executor, [this](tcp::socket socket) {
            const auto executor = socket.get_executor();
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            m_sockets.push_back(shared);
            spawn(executor, serve(std::move(shared), this));
        })
    {
        m_listener.start(address);
    }

    // Ends like a process: its connections break, and its address takes no new ones.
    void end()
    {
        m_listener.stop();
        for (const auto& weak : m_sockets) {
            if (const auto socket = weak.lock())
                socket->close();
        }
    }

    int requests = 0;
    std::map<std::string, int> requestsByMethod;

    // The text of a whole response.
    static std::string response(int status, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    static awaitable<void> write(tcp::socket& socket, std::string text)
    {
        co_await boost::asio::async_write(socket, boost::asio::buffer(text), noThrow);
    }

private:
    static awaitable<void> serve(std::shared_ptr<tcp::socket> socket, LoopbackServer* self)
    {
        boost::beast::flat_buffer buffer;
        for (bool more = true; more;) {
            boost::beast::http::request_parser<boost::beast::http::string_body> parser;
            parser.body_limit(boost::none);
            const auto [error, size]
                = co_await boost::beast::http::async_read(*socket, buffer, parser, noThrow);
            if (error)
                co_return;
            const Request request = parser.release();
            ++self->requests;
            ++self->requestsByMethod[std::string(request.method_string())];
            more = co_await self->m_answer(request, *socket);
        }
    }

    Answer m_answer;
    std::vector<std::weak_ptr<tcp::socket>> m_sockets;
    HttpListener m_listener;
};

// A port on loopback that is free now.
inline Address freeLoopbackAddress()
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return Address { "127.0.0.1", acceptor.local_endpoint().port() };
}

} // namespace almondscale
