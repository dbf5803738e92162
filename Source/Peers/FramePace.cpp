#include "Peers/FramePace.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Control traffic of a host, in and out, that the users' target allows.
    constexpr double bytesPerSecond = 15000;
    // News that is sooner does not help: 20 ms and 50 ms measured alike.
    constexpr Nanoseconds leastPause = std::chrono::milliseconds(20);
    // Silence of five such frames is taken for a dead host.
    constexpr Nanoseconds mostPause = std::chrono::milliseconds(200);

} // namespace

Nanoseconds framePause(std::size_t sentBytes, std::size_t receivedBytes)
{
    const double seconds = static_cast<double>(sentBytes + receivedBytes) / bytesPerSecond;
    return std::clamp(Nanoseconds(static_cast<std::int64_t>(seconds * 1e9)), leastPause, mostPause);
}

} // namespace almondscale
