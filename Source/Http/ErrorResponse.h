#pragma once

#include "Core/ErrorKind.h"
#include "Core/MonotonicTime.h"
#include "Http/HttpResponse.h"

#include <string>

namespace almondscale {

// The JSON answer for an error: its kind, a message and whether the request ran.
HttpResponse errorResponse(ErrorKind, const std::string& detail = {}, Nanoseconds retryAfter = {});

} // namespace almondscale
