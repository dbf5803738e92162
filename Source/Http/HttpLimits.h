#pragma once

#include "Core/ByteCount.h"
#include "Core/MonotonicTime.h"

namespace almondscale {

// Resource limits of an HTTP server.
struct HttpLimits {
    ByteCount maxBody { 8 << 20 };
    unsigned maxThreads = 400;
    // Requests whose body is not complete this long after the header are rejected with status 408.
    Nanoseconds bodyTimeout = std::chrono::seconds(20);
    // A connection that accepts no bytes for this long is closed.
    Nanoseconds writeTimeout = std::chrono::seconds(10);
    Nanoseconds keepAliveTimeout = std::chrono::seconds(30);
};

} // namespace almondscale
