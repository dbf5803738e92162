#pragma once

#include <arpa/inet.h>
#include <array>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace almondscale::test {

// Serves one connection at a time: reads a complete request and sends fixed bytes.
class ScriptedServer {
public:
    // If silent, sends nothing and keeps the connection open until the client closes it.
    explicit ScriptedServer(std::string response, bool silent = false)
        : m_response(std::move(response))
        , m_silent(silent)
        , m_listener(listenLocally())
        , m_thread([this] { serve(); })
    {
    }

    ~ScriptedServer()
    {
        // Unblocks accept() in the server thread.
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    unsigned short port() const
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    std::string lastRequest() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_lastRequest;
    }

    int requests() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_requests;
    }

private:
    static int listenLocally()
    {
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || listen(listener, 5) != 0)
            throw std::runtime_error("ScriptedServer: cannot bind or listen on a loopback port");
        return listener;
    }

    void serve()
    {
        for (int connection = accept(m_listener, nullptr, nullptr); connection >= 0;
             connection = accept(m_listener, nullptr, nullptr)) {
            serveOne(connection);
            close(connection);
        }
    }

    void serveOne(int connection)
    {
        const auto request = readRequest(connection);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_lastRequest = request;
            ++m_requests;
        }
        char ignored = 0;
        if (m_silent)
            recv(connection, &ignored, 1, 0);
        else
            send(connection, m_response.data(), m_response.size(), MSG_NOSIGNAL);
    }

    static std::string readRequest(int connection)
    {
        std::string request;
        std::array<char, 65536> buffer {};
        while (!isWhole(request)) {
            const auto size = recv(connection, buffer.data(), buffer.size(), 0);
            if (size <= 0)
                break;
            request.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return request;
    }

    static bool isWhole(const std::string& request)
    {
        const auto headEnd = request.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return false;
        const std::string name = "Content-Length: ";
        const auto length = request.find(name);
        const auto bodySize = length < headEnd ? std::stoul(request.substr(length + name.size(), 20)) : 0;
        return request.size() >= headEnd + 4 + bodySize;
    }

    std::string m_response;
    bool m_silent;
    int m_listener;
    mutable std::mutex m_mutex;
    std::string m_lastRequest;
    int m_requests = 0;
    std::thread m_thread;
};

} // namespace almondscale::test
