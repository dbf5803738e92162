#include "Peers/FramePace.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Control traffic of a host, in and out, that the users' target allows.
    constexpr double bytesPerSecond = 15000;
    // What a reader may take for all its links: at ten times a host's share, four links of a
    // small system have no longer pause than one.
    constexpr double readerBytesPerSecond = 10 * bytesPerSecond;
    // News that is sooner does not help: 20 ms and 50 ms measured alike.
    constexpr Nanoseconds leastPause = std::chrono::milliseconds(20);
    // Silence of five such frames is taken for a dead host.
    constexpr Nanoseconds mostPause = std::chrono::milliseconds(200);

} // namespace

Nanoseconds framePause(std::size_t sentBytes, std::size_t receivedBytes, std::size_t links)
{
    const auto bytes = static_cast<double>(sentBytes + receivedBytes);
    const double seconds
        = std::max(bytes / bytesPerSecond, bytes * static_cast<double>(links) / readerBytesPerSecond);
    return std::clamp(Nanoseconds(static_cast<std::int64_t>(seconds * 1e9)), leastPause, mostPause);
}

} // namespace almondscale
