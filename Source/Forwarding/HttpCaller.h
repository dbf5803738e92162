#pragma once

#include "Forwarding/ConnectionPool.h"

namespace almondscale {

// A whole response.
struct HttpReply {
    HttpResponseHead head;
    std::string body;
};

// Makes one whole call over a pooled connection. An error says that the call may
// have been carried out, but for `std::errc::connection_refused`.
awaitable<Result<HttpReply>> callHttp(ConnectionPool&, Address, HttpRequestHead, std::string body, Deadline);

// The body of the answer to a request without one; nothing if there is no answer, or none
// with status 200.
awaitable<std::optional<std::string>> fetchBody(ConnectionPool&, Address, HttpRequestHead, Deadline);

} // namespace almondscale
