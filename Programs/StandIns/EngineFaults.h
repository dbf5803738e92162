#pragma once

#include "Core/MonotonicTime.h"

#include <cstdint>
#include <string>

namespace almondscale::standin {

// The faults that a stand-in engine can be told to have.
struct EngineFaults {
    // A prompt that holds this text crashes the engine when it starts to run; empty is off.
    std::string crashOn;
    // The number of cache events still to be lost.
    std::int64_t dropEvents = 0;
    // The time that a step takes instead of the setting's; 0 is off.
    Nanoseconds step {};
    // Each stream is cut after this many tokens; 0 is off.
    std::int64_t cutAfterTokens = 0;
};

} // namespace almondscale::standin
