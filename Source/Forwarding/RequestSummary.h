#pragma once

#include "Core/MonotonicTime.h"

#include <string>

namespace almondscale {

// What became of one request of a caller.
struct RequestSummary {
    std::string route;
    // A word such as "answered" or the kind of error.
    std::string outcome;
    Nanoseconds duration {};
    // Sends beyond the first one.
    int furtherSends = 0;
};

} // namespace almondscale
