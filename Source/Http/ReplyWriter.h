#pragma once

#include "Http/HttpResponse.h"

#include <functional>

namespace almondscale {

// Sends the response of a handler, either complete or streamed.
struct ReplyWriter {
    // Sends a complete response; must be called at most once, and not after beginStream.
    std::function<void(const HttpResponse&)> send;

    // Starts a streamed response with the body as its first chunk; false if the client has disconnected.
    std::function<bool(const HttpResponse&)> beginStream;

    // Sends a chunk of a streamed response without delay; false if the client has disconnected.
    std::function<bool(const std::string&)> write;

    // Whether the client has closed the connection or a chunk could not be sent. A client that has only
    // closed its sending half still counts as connected.
    std::function<bool()> clientDisconnected;
};

} // namespace almondscale
