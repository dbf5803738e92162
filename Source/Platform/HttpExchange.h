#pragma once

#include "Core/Address.h"
#include "Core/Deadline.h"

#include <string>

namespace almondscale {

// One request to the platform.
struct HttpExchangeRequest {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
};

// How far an exchange got.
enum class HttpExchangeEnd {
    // The whole answer is there.
    Answered,
    // The connection was refused, so that nothing was sent.
    NotSent,
    // The request may have been sent and no whole answer came.
    AnswerLost,
};

// What came of one request.
struct HttpExchangeResult {
    HttpExchangeEnd end = HttpExchangeEnd::NotSent;
    int status = 0;
    std::string body;
};

// Sends one request on a connection of its own, which is never sent again, and
// waits for the whole answer until the deadline.
HttpExchangeResult exchangeHttp(const Address&, const HttpExchangeRequest&, Deadline);

} // namespace almondscale
