#pragma once

#include "Forwarding/Asio.h"
#include "Serving/HttpHeads.h"

#include <functional>
#include <string>

namespace almondscale {

// Writes the response to one request. The operations return false if the caller has
// disconnected, and suspend while the caller does not read (back pressure).
struct ResponseWriter {
    std::function<awaitable<bool>(HttpResponseHead, std::string body)> sendResponse;
    std::function<awaitable<bool>(HttpResponseHead)> beginStream;
    std::function<awaitable<bool>(std::string bytes)> sendChunk;
    std::function<awaitable<bool>()> endStream;
    // Ends a started stream without its terminating chunk, so that the caller sees it truncated.
    std::function<void()> abort;
};

} // namespace almondscale
