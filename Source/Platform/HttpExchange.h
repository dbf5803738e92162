#pragma once

#include "Core/Address.h"
#include "Core/Deadline.h"

#include <string>

namespace almondscale {

// An HTTP request to the platform.
struct HttpExchangeRequest {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
};

// How an exchange ended.
enum class HttpExchangeOutcome {
    // The complete response was received.
    Completed,
    // The connection could not be established, so nothing was sent.
    NotSent,
    // The request may have been sent, and no complete response was received.
    AnswerLost,
};

// The outcome of an exchange; status and body are set only if the response was received.
struct HttpExchangeResult {
    HttpExchangeOutcome outcome = HttpExchangeOutcome::NotSent;
    int status = 0;
    std::string body;
};

// Sends the request on a new connection and waits for the complete response until the deadline. Never
// resends.
HttpExchangeResult exchangeHttp(const Address&, const HttpExchangeRequest&, Deadline);

} // namespace almondscale
