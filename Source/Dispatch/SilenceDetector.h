#pragma once

#include "Core/MonotonicTime.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace almondscale {

// Timeouts of a connection without progress.
struct SilenceOptions {
    // From the last item until the attempt's status is queried on a second connection.
    Nanoseconds idleTimeout = std::chrono::milliseconds(500);
    // From the query until the attempt is restarted without an answer.
    Nanoseconds queryTimeout = std::chrono::milliseconds(500);
};

// Status of an attempt, as reported by the backend server on a second connection.
struct AttemptStatus {
    enum class Kind {
        Queued,
        Running,
        Done,
        Cancelled,
        // The server does not know the attempt.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    // Tokens generated so far, from the beginning of the answer.
    std::uint64_t tokens = 0;
};

// Action to take on a connection.
enum class SilenceAction {
    Wait,
    // Query the attempt's status on a second connection.
    Query,
    // Close the connection and read the same attempt's stream on a new one.
    Resume,
    // Close the connection and start a new attempt; this one is lost.
    Restart,
};

// Monitors one connection that carries an attempt, and decides whether the engine is slow or the
// connection is broken. Not thread-safe.
class SilenceDetector {
public:
    SilenceDetector(SilenceOptions, MonotonicTime now);

    // An item was received; `received` is the token count from the beginning of the answer.
    void onProgress(std::uint64_t received, MonotonicTime now);
    // The status query was answered.
    SilenceAction onStatus(const AttemptStatus&, MonotonicTime now);
    // Call at nextCheck().
    SilenceAction check(MonotonicTime now);
    MonotonicTime nextCheck() const;
    // The attempt's stream continues on a new connection.
    void onResumed(MonotonicTime now);

private:
    SilenceOptions m_options;
    MonotonicTime m_idleSince;
    std::uint64_t m_received = 0;
    std::optional<MonotonicTime> m_queriedAt;
};

} // namespace almondscale
