#pragma once

#include "Core/Address.h"
#include "Core/Deadline.h"
#include "Core/Result.h"
#include "Forwarding/Asio.h"
#include "Serving/HttpHeads.h"

#include <functional>
#include <memory>
#include <string>

namespace almondscale {

// Bytes of a response's body.
struct BodyChunk {
    std::string bytes;
    // The body is whole with this piece.
    bool last = false;
};

// One connection to a backend server, to the store or to any other HTTP server,
// which carries one request at a time.
class BackendConnection {
public:
    BackendConnection(const boost::asio::any_io_executor&, Address);
    ~BackendConnection();

    const Address& address() const;

    awaitable<std::error_code> connect(Deadline);
    // Sends a whole request; the fields must not hold a length.
    awaitable<std::error_code> send(const HttpRequestHead&, const std::string& body, Deadline);
    // The head of the next response that is not an interim one.
    awaitable<Result<HttpResponseHead>> readHead(bool headRequest, Deadline);
    // More of the body, as soon as there is any.
    awaitable<Result<BodyChunk>> readBodyChunk(Deadline);
    // The rest of the body, at most so many bytes.
    awaitable<Result<std::string>> readWholeBody(std::size_t maxBytes, Deadline);
    // The rest of the body, while so many bytes of it may be held.
    using MayBuffer = std::function<bool(std::size_t bytes)>;
    awaitable<Result<std::string>> readWholeBody(MayBuffer, Deadline);

    // The last response is whole and the server keeps the connection.
    bool reusable() const;
    // Until when the server keeps the idle connection.
    Deadline idleUntil() const;
    // Whether an idle connection is still open, with nothing unasked in it.
    bool isIdle();
    // It has carried an answer.
    bool hasReadResponse() const;
    // The server has closed or reset the connection.
    bool closedByServer() const;

    // Ends every operation under way; may be called at any time.
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
