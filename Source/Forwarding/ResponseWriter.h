#pragma once

#include "Forwarding/Asio.h"
#include "Serving/HttpHeads.h"

#include <functional>
#include <string>

namespace almondscale {

// Where the answer to one request goes. The operations return whether the caller
// is still there; they wait while the caller does not read.
struct ResponseWriter {
    std::function<awaitable<bool>(HttpResponseHead, std::string body)> sendResponse;
    std::function<awaitable<bool>(HttpResponseHead)> beginStream;
    std::function<awaitable<bool>(std::string bytes)> sendChunk;
    std::function<awaitable<bool>()> endStream;
    // Ends a stream so that it cannot be taken for complete.
    std::function<void()> abort;
};

} // namespace almondscale
