#pragma once

#include <atomic>
#include <cstdint>

namespace almondscale {

// Counters of the peer port since the start of the process.
struct TransportCounters {
    std::atomic<std::uint64_t> connectionsAccepted { 0 };
    // Connections over a limit, and those that did not authenticate in time.
    std::atomic<std::uint64_t> connectionsRefused { 0 };
    // Frames whose MAC is not valid for an accepted key, the connection and this host.
    std::atomic<std::uint64_t> framesUnauthorised { 0 };
    // Frames longer than maxFrameBytes.
    std::atomic<std::uint64_t> framesOversized { 0 };
    // Frames dropped because a queue, a ring or the number of connections was at its limit.
    std::atomic<std::uint64_t> framesDropped { 0 };
    std::atomic<std::uint64_t> connectionsOpened { 0 };
    // Outbound connections that could not be opened, timed out or were closed by the peer.
    std::atomic<std::uint64_t> connectionsFailed { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
};

} // namespace almondscale
