#pragma once

#include "Serving/WallTime.h"

#include <deque>

namespace almondscale {

// Converts times of the boot clock to true time by the median of the wall clock's offsets observed in the
// last minute, so that a jump of the wall clock that is reversed within half a minute has no effect. A
// process that started less than a minute ago uses the samples that it has: its wall clock is right in
// general, and waiting would leave the requests of its first minute uncounted.
class TrueTime {
public:
    // Records that the wall clock showed `wall` at `now`. Times must not decrease.
    void observe(MonotonicTime now, WallTime wall);
    // At least one observation must have been made.
    WallTime at(MonotonicTime) const;

private:
    struct Sample {
        MonotonicTime takenAt;
        Nanoseconds offset;
    };

    std::deque<Sample> m_samples;
    Nanoseconds m_offset {};
};

} // namespace almondscale
