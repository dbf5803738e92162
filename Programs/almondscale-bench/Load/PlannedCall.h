#pragma once

#include "Core/BookingKey.h"
#include "Core/MonotonicTime.h"
#include "Load/MixLine.h"

#include <cstddef>
#include <cstdint>

namespace almondscale {

// One call of a run, drawn before the run starts.
struct PlannedCall {
    // The time from the start of the run.
    Nanoseconds at {};
    // Which of the hosts is called.
    std::size_t host = 0;
    // The line of the mix that the call is of.
    std::size_t line = 0;
    std::int64_t promptWords = 0;
    std::int64_t maxTokens = 0;
    std::uint64_t promptSeed = 0;
    std::uint64_t prefixSeed = 0;
    // Empty for a completion.
    BookingKey key;
    // Whether the call repeats the key of an earlier one.
    bool repeated = false;
};

} // namespace almondscale
