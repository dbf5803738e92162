#include "Serving/RetryAdvice.h"

#include "Core/ErrorInfo.h"

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Time in which a server is expected to have room again, or to have come back.
    constexpr Nanoseconds afterFull = milliseconds(300);
    constexpr Nanoseconds afterNone = milliseconds(800);
    // Time in which this host is expected to have read the manifest.
    constexpr Nanoseconds afterStart = milliseconds(500);

} // namespace

std::optional<Nanoseconds> retryAfter(ErrorKind kind)
{
    const auto& row = errorInfo(kind);
    if (row.execution != ExecutionStatus::NotRun || !row.retryable)
        return std::nullopt;
    switch (kind) {
    // A new connection reaches another host.
    case ErrorKind::ShuttingDown:
        return Nanoseconds(0);
    case ErrorKind::NoEngine:
        return afterNone;
    case ErrorKind::NoRules:
    case ErrorKind::RequestTimeout:
        return afterStart;
    default:
        return afterFull;
    }
}

} // namespace almondscale
