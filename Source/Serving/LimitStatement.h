#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/BackendLifetime.h"
#include "Serving/RequestRate.h"

#include <optional>

namespace almondscale {

// What a backend server's responses last said about the requests that it takes from all hosts together.
struct LimitStatement {
    BackendLifetime server;
    // Unset if the server no longer names a limit.
    std::optional<RequestRate> rate;
    // When a response named the limit. For the end of a limit, when the request was sent whose response no
    // longer named it.
    MonotonicTime statedAt {};
};

} // namespace almondscale
