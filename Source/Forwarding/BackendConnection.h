#pragma once

#include "Core/Address.h"
#include "Core/Deadline.h"
#include "Core/Result.h"
#include "Core/TransferDeadline.h"
#include "Forwarding/Asio.h"
#include "Serving/HttpHeads.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace almondscale {

// A part of a response body, as received.
struct BodyChunk {
    std::string bytes;
    // The body ends with this chunk.
    bool last = false;
};

// A client connection to a backend server, the store or any other HTTP/1.1 server. It carries
// one request at a time. An operation that misses its deadline closes the connection and
// returns `std::errc::operation_canceled`.
class BackendConnection {
public:
    // The token is kept as long as the connection.
    BackendConnection(
        const boost::asio::any_io_executor&, Address, std::shared_ptr<const void> token = nullptr);
    ~BackendConnection();

    const Address& address() const;

    awaitable<std::error_code> connect(Deadline);
    // Sends a request with its body. The head must not contain Content-Length, which is added.
    awaitable<std::error_code> send(const HttpRequestHead&, const std::string& body, Deadline);
    // Sends a request with a body of any size, as long as the server takes its bytes. Returns once it has
    // taken all of a large one, or begins to respond.
    awaitable<std::error_code> transfer(const HttpRequestHead&, const std::string& body, TransferDeadline);
    // Reads the head of the next final response; interim (1xx) responses are skipped.
    awaitable<Result<HttpResponseHead>> readHead(bool headRequest, Deadline);
    // Returns the next bytes of the body as soon as any arrive.
    awaitable<Result<BodyChunk>> readBodyChunk(Deadline);
    // Reads the rest of the body. Fails with `std::errc::message_size` beyond maxBytes.
    awaitable<Result<std::string>> readWholeBody(std::size_t maxBytes, Deadline);
    // Reads the rest of the body. awaitRoom is called with what was read so far, after each read; if it
    // returns false, the call fails with `std::errc::message_size`.
    using AwaitRoom = std::function<awaitable<bool>(const std::string& body)>;
    awaitable<Result<std::string>> readWholeBody(AwaitRoom, Deadline);
    // How many bytes of the body are still to come, if the response states its length.
    std::optional<std::size_t> remainingBodyBytes() const;

    // Whether the last response was read completely and the server keeps the connection open.
    bool reusable() const;
    // Time until which the idle connection may be reused, before the server's keep-alive timeout.
    Deadline idleUntil() const;
    // Whether the connection is open and has no unread bytes.
    bool isIdle();
    // Whether a response head was read on this connection.
    bool hasReadResponse() const;
    // Whether the last response has neither a length nor chunks, so that it ends with the connection.
    bool endsWithResponse() const;
    // Whether the server has closed or reset the connection.
    bool closedByServer() const;

    // Cancels pending operations. May be called at any time.
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
