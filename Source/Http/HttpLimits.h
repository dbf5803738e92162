#pragma once

#include "Core/ByteCount.h"
#include "Core/MonotonicTime.h"

namespace almondscale {

// Bounds on what one caller can take of an HTTP server.
struct HttpLimits {
    ByteCount maxBody { 8 << 20 };
    unsigned maxThreads = 400;
    // A request whose body is not complete this long after its header is refused.
    Nanoseconds bodyTimeout = std::chrono::seconds(20);
    // A connection that neither takes nor gives a byte for this long is closed.
    Nanoseconds idleTimeout = std::chrono::seconds(10);
    Nanoseconds keepAliveTimeout = std::chrono::seconds(30);
};

} // namespace almondscale
