#pragma once

#include <array>
#include <cstdint>

namespace almondscale {

// What the membership protocol did since the start.
struct MembershipCounters {
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    // Truncated, hostile or oversized frames.
    std::uint64_t framesRefused = 0;
    // Records and items beyond a bound.
    std::uint64_t entriesRefused = 0;
    std::uint64_t bytesSent = 0;
    // By FrameKind.
    std::array<std::uint64_t, 8> framesSentOfKind {};
    std::array<std::uint64_t, 8> bytesSentOfKind {};
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t pauses = 0;
    std::uint64_t pingsRetried = 0;
};

} // namespace almondscale
