#pragma once

#include "Core/ErrorKind.h"
#include "Core/MonotonicTime.h"
#include "Http/HttpResponse.h"

#include <string>

namespace almondscale {

// The JSON response for an error: its kind, a message (the kind's default if detail is empty) and whether the
// request may have run. Retryable errors carry a retry-after header of whole seconds, at least one.
HttpResponse errorResponse(ErrorKind, const std::string& detail = {}, Nanoseconds retryAfter = {});

} // namespace almondscale
