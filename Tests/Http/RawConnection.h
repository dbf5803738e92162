#pragma once

#include "Core/Address.h"

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace almondscale::test {

// A TCP connection that sends arbitrary bytes, including malformed HTTP, and reads the response.
class RawConnection {
public:
    explicit RawConnection(const Address& to)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
        const timeval receiveTimeout { 20, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        m_connected = ::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    ~RawConnection() { ::close(m_descriptor); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    bool connected() const { return m_connected; }
    void send(const std::string& bytes) { ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    void closeSending() { ::shutdown(m_descriptor, SHUT_WR); }

    // Reads until the text has arrived, the connection ends or the receive timeout of 20 s expires.
    std::string readUntil(const std::string& text)
    {
        std::string all;
        char buffer[4096];
        while (text.empty() || all.find(text) == std::string::npos) {
            const auto count = ::recv(m_descriptor, buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            all.append(buffer, static_cast<std::size_t>(count));
        }
        return all;
    }
    std::string readToEnd() { return readUntil({}); }

private:
    int m_descriptor;
    bool m_connected = false;
};

} // namespace almondscale::test
