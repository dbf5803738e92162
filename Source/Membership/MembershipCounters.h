#pragma once

#include <array>
#include <cstdint>

namespace almondscale {

// Counters of the membership protocol since the start of the process.
struct MembershipCounters {
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    // Truncated, malformed or oversized frames, and frames that name this host as their sender.
    std::uint64_t framesRejected = 0;
    // Records and items that exceeded a limit.
    std::uint64_t entriesRejected = 0;
    std::uint64_t bytesSent = 0;
    // Indexed by FrameKind.
    std::array<std::uint64_t, 8> framesSentOfKind {};
    std::array<std::uint64_t, 8> bytesSentOfKind {};
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    // Pauses of this process longer than pauseThreshold.
    std::uint64_t pauses = 0;
    std::uint64_t pingsRetried = 0;
};

} // namespace almondscale
