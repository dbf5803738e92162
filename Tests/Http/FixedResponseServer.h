#pragma once

#include "Core/Address.h"

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace almondscale::test {

// Accepts connections, reads once, sends fixed bytes, which may be an incomplete response, and closes.
class FixedResponseServer {
public:
    explicit FixedResponseServer(std::string response)
        : m_response(std::move(response))
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        const bool listening = ::bind(m_listener, generic, size) == 0 && ::listen(m_listener, 8) == 0
            && ::getsockname(m_listener, generic, &size) == 0;
        if (!listening)
            throw std::system_error(errno, std::generic_category(), "FixedResponseServer");
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
        m_thread = std::thread([this] { serve(); });
    }
    ~FixedResponseServer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }
    FixedResponseServer(const FixedResponseServer&) = delete;
    FixedResponseServer& operator=(const FixedResponseServer&) = delete;

    const Address& address() const { return m_address; }
    int connections() const { return m_connections; }

private:
    void serve()
    {
        while (true) {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            if (connection < 0)
                return;
            ++m_connections;
            char buffer[4096];
            const auto ignored = ::recv(connection, buffer, sizeof buffer, 0);
            (void)ignored;
            ::send(connection, m_response.data(), m_response.size(), MSG_NOSIGNAL);
            ::close(connection);
        }
    }

    std::string m_response;
    int m_listener;
    Address m_address;
    std::atomic<int> m_connections { 0 };
    std::thread m_thread;
};

} // namespace almondscale::test
