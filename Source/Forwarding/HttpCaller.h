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

} // namespace almondscale
