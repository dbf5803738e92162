#pragma once

#include "Http/HttpRequest.h"
#include "Http/ReplyWriter.h"

#include <functional>

namespace almondscale {

// Answers one request, on a thread of the server.
using HttpHandler = std::function<void(const HttpRequest&, ReplyWriter&)>;

} // namespace almondscale
