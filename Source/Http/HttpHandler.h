#pragma once

#include "Http/HttpRequest.h"
#include "Http/ReplyWriter.h"

#include <functional>

namespace almondscale {

// Handles one request on a thread of the server. An exception gives an internal error, or cuts off a response
// that is being streamed.
using HttpHandler = std::function<void(const HttpRequest&, ReplyWriter&)>;

} // namespace almondscale
