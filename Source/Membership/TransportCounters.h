#pragma once

#include <atomic>
#include <cstdint>

namespace almondscale {

// What the peers' port did since the start.
struct TransportCounters {
    std::atomic<std::uint64_t> connectionsAccepted { 0 };
    // Connections beyond the bound, and those that did not prove the key in time.
    std::atomic<std::uint64_t> connectionsRefused { 0 };
    // Frames whose code does not match a key, the connection and this host.
    std::atomic<std::uint64_t> framesUnauthorised { 0 };
    // Frames longer than the bound.
    std::atomic<std::uint64_t> framesOversized { 0 };
    std::atomic<std::uint64_t> framesDropped { 0 };
    std::atomic<std::uint64_t> connectionsOpened { 0 };
    // Connections that could not be opened or made no progress.
    std::atomic<std::uint64_t> connectionsFailed { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
};

} // namespace almondscale
