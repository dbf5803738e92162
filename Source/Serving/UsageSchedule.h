#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// Times after the end of a window. The holder of the duty must read early enough that a successor, which
// takes up to 7 s, still reports within 10 s.
struct UsageSchedule {
    // A host closes the window: most requests that began in it have given evidence of that.
    static constexpr Nanoseconds close = std::chrono::milliseconds(1200);
    // A reader writes the records of its hosts, and once more at least this much later if records have grown.
    static constexpr Nanoseconds write = std::chrono::milliseconds(1600);
    static constexpr Nanoseconds rewriteInterval = std::chrono::milliseconds(650);
    // A host counts requests into a closed window until then, and later ones into the next window.
    static constexpr Nanoseconds lastCount = std::chrono::milliseconds(1950);
    // A host whose reader has not confirmed a record writes it itself.
    static constexpr Nanoseconds ownWrite = std::chrono::milliseconds(2400);
    // The holder of the duty reads the records.
    static constexpr Nanoseconds read = std::chrono::milliseconds(2600);
};

// Windows for which records are kept while the store is unavailable.
inline constexpr int keptUsageWindows = 10;

} // namespace almondscale
