#pragma once

#include "Core/MonotonicTime.h"

#include <string>

namespace almondscale {

// Result of a caller's request, for metrics.
struct RequestSummary {
    std::string route;
    // "answered", "caller_left", "broken_off", "server_failed" or the word of an ErrorKind.
    std::string outcome;
    Nanoseconds duration {};
    // Sends after the first one.
    int furtherSends = 0;
};

} // namespace almondscale
