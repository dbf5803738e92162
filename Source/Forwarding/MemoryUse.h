#pragma once

#include "Core/MonotonicTime.h"

#include <cstddef>
#include <cstdint>

namespace almondscale {

// What a part of the memory budget is held for.
enum class MemoryPhase {
    // An open connection of a caller without a request.
    Idle,
    // A request that is being read.
    Receiving,
    // A request that waits for a server, or a response that is passed on as it arrives.
    Running,
    // A response that is being buffered.
    Buffering,
    // Bytes that a caller has yet to read.
    Sending,
};

inline constexpr std::size_t memoryPhaseCount = 5;

// The name of the phase in metrics.
const char* memoryPhaseName(MemoryPhase);

// Why the host ends a message or a connection.
enum class MemoryEnd {
    // The caller stopped in the middle of its request.
    Stalled,
    // The message cannot be received with the memory that is left.
    NoRoom,
    // The caller does not read its response.
    Unread,
    // The connection was idle the longest when memory or descriptors ran out.
    Idle,
};

inline constexpr std::size_t memoryEndCount = 4;

const char* memoryEndName(MemoryEnd);

// One message or connection and the memory that it holds.
struct MemoryUse {
    std::uint64_t id = 0;
    MemoryPhase phase = MemoryPhase::Idle;
    // Without the fixed amount for the connection.
    std::size_t bytes = 0;
    // How much more the message may need, as announced or limited.
    std::size_t remaining = 0;
    // When the phase began.
    MonotonicTime since {};
    // When bytes last moved, or were last allowed to move.
    MonotonicTime progressAt {};
};

} // namespace almondscale
