#pragma once

#include "Core/MonotonicTime.h"

#include <map>
#include <optional>
#include <string>

namespace almondscale::standin {

class ConnectionBook;

// One request to a stand-in, and the ways to answer it or not to.
class HttpExchange {
public:
    HttpExchange(ConnectionBook&, int socket, MonotonicTime headerReadAt, std::string method,
        std::string path, std::string query, std::string body,
        const std::map<std::string, std::string>& headers);

    const std::string& method() const { return m_method; }
    const std::string& path() const { return m_path; }
    const std::string& body() const { return m_body; }
    MonotonicTime headerReadAt() const { return m_headerReadAt; }
    std::optional<std::string> header(const std::string& name) const;
    std::optional<std::string> queryValue(const std::string& name) const;

    void reply(int status, std::string body, std::string contentType = "application/json");
    // Sends only the first bytes of the answer's body, then closes.
    void replyCut(int status, const std::string& body, std::size_t bytes);
    // Closes the connection without an answer.
    void drop();
    // Sends the header of an answer that ends with the connection.
    bool startStream(const std::string& contentType);
    // Sends a piece of a stream; false if the caller has gone.
    bool write(const std::string&);
    // Marks a stream as whole; one without this mark was cut.
    void endStream();
    bool callerGone() const;
    // From now on the other open connections of the stand-in carry nothing and stay open.
    void silenceOthers();
    // Blocks until the caller of a connection that has gone silent closes it.
    void holdIfSilent();

    bool answered() const { return m_answered; }
    int status() const { return m_status; }
    const std::string& replyBody() const { return m_replyBody; }
    const std::string& replyType() const { return m_replyType; }

private:
    bool sendUnlessSilent(const std::string& bytes);

    ConnectionBook& m_book;
    int m_socket;
    MonotonicTime m_headerReadAt;
    std::string m_method;
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::map<std::string, std::string> m_headers;
    std::string m_connection;
    // Whether the socket already carried the answer, or was closed instead.
    bool m_answered = false;
    int m_status = 404;
    std::string m_replyBody = "{}";
    std::string m_replyType = "application/json";
};

} // namespace almondscale::standin
