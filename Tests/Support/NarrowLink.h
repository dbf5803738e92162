#pragma once

#include "Forwarding/Asio.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/HttpListener.h"
#include "Forwarding/SocketOptions.h"
#include "Forwarding/Spawn.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

namespace almondscale {

// Passes connections on to an address, at so many bytes per second in each direction.
class NarrowLink {
public:
    NarrowLink(const boost::asio::any_io_executor& executor, const Address& address, Address target,
        std::size_t bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
        , m_listener(executor, [this, target = std::move(target)](tcp::socket socket) {
            const auto executor = socket.get_executor();
            spawn(executor, connect(std::make_shared<tcp::socket>(std::move(socket)), target, this));
        })
    {
        m_listener.start(address);
    }

    // From the target to those that connected.
    std::size_t passedBack = 0;

private:
    using Socket = std::shared_ptr<tcp::socket>;

    static awaitable<void> connect(Socket near, Address target, NarrowLink* self)
    {
        const auto far = std::make_shared<tcp::socket>(near->get_executor());
        boost::system::error_code error;
        const auto endpoint = endpointOf(target, error);
        std::tie(error) = co_await far->async_connect(endpoint, noThrow);
        if (error)
            co_return;
        // Bytes that are received here count as taken by the other side.
        near->set_option(boost::asio::socket_base::receive_buffer_size(32768), error);
        spawn(near->get_executor(), pass(near, far, self, nullptr));
        spawn(near->get_executor(), pass(far, near, self, &self->passedBack));
    }

    static awaitable<void> pass(Socket from, Socket to, NarrowLink* self, std::size_t* count)
    {
        constexpr auto step = std::chrono::milliseconds(5);
        constexpr std::size_t stepsPerSecond = 200;
        std::array<char, 65536> bytes {};
        const auto most = std::min(bytes.size(), self->m_bytesPerSecond / stepsPerSecond);
        for (;;) {
            const auto [error, size]
                = co_await from->async_read_some(boost::asio::buffer(bytes.data(), most), noThrow);
            if (error)
                break;
            const auto [failed, written]
                = co_await boost::asio::async_write(*to, boost::asio::buffer(bytes.data(), size), noThrow);
            if (failed)
                break;
            if (count)
                *count += size;
            co_await sleepFor(step);
        }
        boost::system::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    std::size_t m_bytesPerSecond;
    HttpListener m_listener;
};

} // namespace almondscale
