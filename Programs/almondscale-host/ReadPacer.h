#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// Decides how long a host waits for the store to respond to a read, and how long until it tries again. Fast
// at first, so that one lost call costs little; slower the longer the store does not respond.
class ReadPacer {
public:
    ReadPacer(Nanoseconds minAnswerTime, Nanoseconds minRetryDelay);

    // Whether the last read failed.
    bool failing() const { return m_failures > 0; }
    // Time after which a call whose response has not begun is given up, beyond the time that the store was
    // asked to wait for a change.
    Nanoseconds answerTime() const { return m_answerTime; }
    // Delay until the next read. The number, between 0 and 1, spreads the reads of many hosts.
    Nanoseconds retryDelay(double random) const;

    // A response began after so long.
    void onAnswer(Nanoseconds);
    void onFailure();

private:
    Nanoseconds m_minAnswerTime;
    Nanoseconds m_minRetryDelay;
    Nanoseconds m_answerTime;
    int m_failures = 0;
};

} // namespace almondscale
