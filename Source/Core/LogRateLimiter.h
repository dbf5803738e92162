#pragma once

#include "Core/LogEvent.h"

#include <cstdint>
#include <mutex>

namespace almondscale {

// The rate limit of a process's log.
struct LogRateLimit {
    // Lines per second, and the maximum burst in lines. There is no limit if linesPerSecond is 0.
    double linesPerSecond = 0;
    double burst = 0;
    // The fraction of the burst that is reserved for warnings and errors.
    double reserved = 0.25;
};

// Decides which log lines are written, so that a full pipe or a flood of lines never blocks the
// process. Dropped lines are counted and reported with the next line written.
class LogRateLimiter {
public:
    explicit LogRateLimiter(LogRateLimit = {});

    void setLimit(LogRateLimit);
    // Whether a line may be written now. A line is dropped if the output is not writable without
    // blocking.
    bool admit(LogLevel, double nowSeconds, bool outputWritable);
    // The number of lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    std::mutex m_mutex;
    LogRateLimit m_limit;
    double m_tokens = 0;
    double m_at = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace almondscale
