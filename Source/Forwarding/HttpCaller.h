#pragma once

#include "Core/TransferProgress.h"
#include "Forwarding/ConnectionPool.h"

#include <optional>

namespace almondscale {

// A response with its complete body.
struct HttpReply {
    HttpResponseHead head;
    std::string body;
};

// How far a call has come.
struct CallProgress {
    // When the head of the response had arrived; unset before.
    std::optional<MonotonicTime> respondedAt;
    // The body of the response.
    TransferProgress body;
};

// Sends a request over a pooled connection and reads the response. On any error other than
// `std::errc::connection_refused` the server may have executed the request.
awaitable<Result<HttpReply>> callHttp(ConnectionPool&, Address, HttpRequestHead, std::string body, Deadline);

// The same for bodies of any size: the connection, and the head of the response once the request is sent, are
// due within the answer time; the bodies have as long as their bytes keep coming, see TransferDeadline.
awaitable<Result<HttpReply>> transferHttp(
    ConnectionPool&, Address, HttpRequestHead, std::string body, Nanoseconds answerTime, CallProgress&);

// Sends a request without a body and returns the body of the response; nullopt on an error or
// a status other than 200.
awaitable<std::optional<std::string>> fetchBody(ConnectionPool&, Address, HttpRequestHead, Deadline);

} // namespace almondscale
