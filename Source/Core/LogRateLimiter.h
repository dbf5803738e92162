#pragma once

#include "Core/LogEvent.h"

#include <cstdint>
#include <mutex>

namespace almondscale {

// What a process may write to its log.
struct LogRateLimit {
    // Lines a second, and lines at once after a quiet time; 0 for no bound.
    double linesPerSecond = 0;
    double burst = 0;
    // Part of the burst that only warnings and errors may use.
    double reserved = 0.25;
};

// Decides which log lines are written, so that a busy or unread log never holds
// the process up. Lines left out are counted and told with the next one written.
class LogRateLimiter {
public:
    explicit LogRateLimiter(LogRateLimit = {});

    void setLimit(LogRateLimit);
    // Whether a line may be written now to an output that takes it without waiting.
    bool admit(LogLevel, double nowSeconds, bool outputWritable);
    // The number of lines left out since the last call.
    std::uint64_t takeDropped();

private:
    std::mutex m_mutex;
    LogRateLimit m_limit;
    double m_tokens = 0;
    double m_at = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace almondscale
