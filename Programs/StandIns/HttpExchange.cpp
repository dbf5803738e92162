#include "StandIns/HttpExchange.h"

#include "Http/LowerCase.h"
#include "StandIns/ConnectionBook.h"
#include "StandIns/PeerName.h"

#include <cxxtools/query_params.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <poll.h>
#include <sys/socket.h>

namespace almondscale::standin {

namespace {

    // A caller that takes no bytes for this long is given up.
    constexpr int writeTimeoutMs = 10000;

    bool sendAll(int socket, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count
                = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
                continue;
            }
            if (count < 0 && errno != EAGAIN && errno != EINTR)
                return false;
            pollfd waiting { socket, POLLOUT, 0 };
            if (::poll(&waiting, 1, writeTimeoutMs) == 0)
                return false;
        }
        return true;
    }

} // namespace

HttpExchange::HttpExchange(ConnectionBook& book, int socket, MonotonicTime headerReadAt, std::string method,
    std::string path, std::string query, std::string body, const std::map<std::string, std::string>& headers)
    : m_book(book)
    , m_socket(socket)
    , m_headerReadAt(headerReadAt)
    , m_method(std::move(method))
    , m_path(std::move(path))
    , m_query(std::move(query))
    , m_body(std::move(body))
    , m_connection(peerName(socket))
{
    for (const auto& [name, value] : headers)
        m_headers[lowerCase(name)] = value;
    m_book.add(m_connection, m_socket);
}

std::optional<std::string> HttpExchange::header(const std::string& name) const
{
    const auto found = m_headers.find(lowerCase(name));
    if (found == m_headers.end())
        return std::nullopt;
    return found->second;
}

std::optional<std::string> HttpExchange::queryValue(const std::string& name) const
{
    cxxtools::QueryParams parameters;
    parameters.parse_url(m_query);
    if (!parameters.has(name))
        return std::nullopt;
    return parameters.param(name);
}

void HttpExchange::reply(int status, std::string body, std::string contentType)
{
    m_status = status;
    m_replyBody = std::move(body);
    m_replyType = std::move(contentType);
}

void HttpExchange::replyCut(int status, const std::string& body, std::size_t bytes)
{
    const std::string header = "HTTP/1.1 " + std::to_string(status)
        + " Cut\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n";
    sendUnlessSilent(header + body.substr(0, bytes));
    drop();
}

void HttpExchange::drop()
{
    m_answered = true;
    ::shutdown(m_socket, SHUT_RDWR);
    m_book.remove(m_connection);
}

bool HttpExchange::startStream(const std::string& contentType)
{
    m_answered = true;
    return sendUnlessSilent("HTTP/1.1 200 OK\r\nContent-Type: " + contentType
        + "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
}

bool HttpExchange::write(const std::string& bytes)
{
    // A chunk without bytes would mark the end.
    if (bytes.empty())
        return true;
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return sendUnlessSilent(size + bytes + "\r\n");
}

void HttpExchange::endStream() { sendUnlessSilent("0\r\n\r\n"); }

bool HttpExchange::sendUnlessSilent(const std::string& bytes)
{
    holdIfSilent();
    return sendAll(m_socket, bytes);
}

void HttpExchange::holdIfSilent()
{
    if (!m_book.silent(m_connection))
        return;
    m_book.holdSilent(m_connection, m_socket);
    drop();
}

void HttpExchange::silenceOthers() { m_book.silenceAllBut(m_connection); }

bool HttpExchange::callerGone() const { return peerGone(m_socket, 0); }

} // namespace almondscale::standin
