#pragma once

#include "Core/MonotonicTime.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace almondscale {

// The times after which a connection without progress is doubted.
struct SilenceOptions {
    // Since the last item; then a second connection asks about the attempt.
    Nanoseconds idleTimeout = std::chrono::milliseconds(500);
    // Since the question was sent.
    Nanoseconds queryTimeout = std::chrono::milliseconds(500);
};

// What the backend server said on a second connection about an attempt.
struct AttemptStatus {
    enum class Kind {
        Queued,
        Running,
        Done,
        Cancelled,
        // It does not know the attempt.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    // The tokens it has made so far, counted from the beginning of the answer.
    std::uint64_t tokens = 0;
};

// What to do about a connection.
enum class SilenceAction {
    Wait,
    // Ask about the attempt on a second connection.
    Query,
    // Drop the connection and read the same attempt's stream on a new one.
    Resume,
    // Drop the connection and make a new attempt; the attempt is lost.
    Restart,
};

// Watches one connection that carries an attempt. The same question serves any
// kind of peer that can be asked for its progress. Not thread-safe.
class SilenceDetector {
public:
    SilenceDetector(SilenceOptions, MonotonicTime now);

    // An item came in; received counts the tokens from the beginning of the answer.
    void onProgress(std::uint64_t received, MonotonicTime now);
    // The answer to the question, on the second connection.
    SilenceAction onStatus(const AttemptStatus&, MonotonicTime now);
    // To be called at nextCheck().
    SilenceAction check(MonotonicTime now);
    MonotonicTime nextCheck() const;
    // A new connection carries the attempt.
    void onResumed(MonotonicTime now);

private:
    SilenceOptions m_options;
    MonotonicTime m_idleSince;
    std::uint64_t m_received = 0;
    std::optional<MonotonicTime> m_queriedAt;
};

} // namespace almondscale
